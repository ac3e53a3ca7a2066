//! Faults and other events of a scenario.

use std::time::Duration;

use crate::scenario::answer_fault::AnswerFault;
use crate::scenario::disk_fault::DiskFault;
use crate::scenario::target::Target;

/// Direction in which a partition loses packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// Packets from and to the target.
    Both,
    /// Packets that the target sends.
    Outward,
    /// Packets to the target.
    Inward,
}

/// Kind of machine that a rolling restart restarts, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollKind {
    /// Control nodes; each is back before the next one stops.
    ControlNodes,
    /// Proxy nodes; each is back before the next one stops.
    ProxyNodes,
    /// Model backends; each is retired and replaced by a new one.
    Models,
}

/// A fault, or another event that a scenario can cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills the processes and starts them again.
    Kill {
        /// Processes to kill.
        target: Target,
        /// Time until they start again.
        down: Duration,
    },
    /// Takes machines down without closing their connections, and starts them again; a control node gets an
    /// empty disk. Becomes a kill while the loss of a disk would exceed the guaranteed fault tolerance.
    Wipe {
        /// Machines to take down.
        target: Target,
        /// Time until they start again.
        down: Duration,
    },
    /// Removes control nodes for good, and starts empty ones at new addresses. Becomes a kill under the same
    /// condition as [`Fault::Wipe`].
    Replace {
        /// Control nodes to remove.
        target: Target,
        /// Time until the new machines start.
        down: Duration,
    },
    /// Suspends the processes, which later continue with their state (as SIGSTOP and SIGCONT do).
    Freeze {
        /// Processes to suspend.
        target: Target,
        /// Duration of the suspension.
        length: Duration,
    },
    /// Drops packets between the target's machines and others.
    Partition {
        /// Machines to separate.
        target: Target,
        /// Machines to separate them from; every other machine if absent.
        from: Option<Target>,
        /// Direction in which packets are dropped.
        direction: PartitionDirection,
        /// Duration of the partition.
        length: Duration,
    },
    /// Resets every connection of the target's machines to other machines.
    Reset {
        /// Machines whose connections are reset.
        target: Target,
    },
    /// Makes the disks of control nodes faulty.
    Disk {
        /// Control nodes whose disks are affected.
        target: Target,
        /// Kind of disk fault.
        fault: DiskFault,
        /// Duration of the fault.
        length: Duration,
    },
    /// Moves monotonic clocks ahead.
    ClockJump {
        /// Processes whose clocks jump.
        target: Target,
        /// Length of the jump.
        by: Duration,
    },
    /// Makes monotonic clocks run fast or slow until the end of the run.
    ClockDrift {
        /// Processes whose clocks drift.
        target: Target,
        /// Drift in parts per million; negative is slow.
        ppm: i32,
    },
    /// Marks backends as draining in the registry. They shut down later; their replacements start at once.
    Retire {
        /// Backends to retire.
        target: Target,
    },
    /// Makes a share of all backends' answers faulty.
    Answers {
        /// Kind of answer fault.
        fault: AnswerFault,
        /// Duration of the fault.
        length: Duration,
    },
    /// Keeps the registry's published list from changing.
    FrozenRegistry {
        /// Duration of the fault.
        length: Duration,
    },
    /// Makes two operators send different orders on the same base revision.
    Race,
    /// Loses a share of the replies to operators, who then send the same order to another node.
    LostReplies {
        /// Duration of the fault.
        length: Duration,
    },
    /// Makes an operator revoke the keys of one tenant.
    Revoke,
    /// Multiplies the rate of all callers.
    Burst {
        /// Factor on the request rates.
        times: u32,
        /// Duration of the burst.
        length: Duration,
    },
    /// Makes one tenant send most requests.
    HotTenant {
        /// Duration of the fault.
        length: Duration,
    },
    /// Restarts every machine of a kind, one after the other.
    Roll {
        /// Kind of machine to restart.
        kind: RollKind,
    },
    /// Makes operators send orders in sequence, each as soon as the one before is accepted.
    Orders {
        /// Number of orders to send.
        count: u32,
    },
}

/// A fault with its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// Time from the start of the run.
    pub at: Duration,
    /// Fault that begins then.
    pub fault: Fault,
}
