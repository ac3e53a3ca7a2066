//! Faults and events that a scenario can order.

use std::time::Duration;

use crate::scenario::answer_fault::AnswerFault;
use crate::scenario::disk_fault::DiskFault;
use crate::scenario::target::Target;

/// Which directions of a partition lose packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// Both.
    Both,
    /// What the target sends.
    Outward,
    /// What the target would receive.
    Inward,
}

/// What a rolling restart goes over, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollKind {
    /// Control nodes, each after the one before is back.
    ControlNodes,
    /// Proxy nodes.
    ProxyNodes,
    /// Model backends: each is retired and replaced by a new one.
    Models,
}

/// A fault or another event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process dies without warning and is started again.
    Kill {
        /// What dies.
        target: Target,
        /// Time until it starts again.
        down: Duration,
    },
    /// As a kill, and the disk is empty afterwards.
    Wipe {
        /// What dies.
        target: Target,
        /// Time until it starts again.
        down: Duration,
    },
    /// The machine is lost for good; an empty one comes at a new address.
    Replace {
        /// What is lost.
        target: Target,
        /// Time until the new machine starts.
        down: Duration,
    },
    /// The process stops for a while and continues as if nothing had been (SIGSTOP).
    Freeze {
        /// What stops.
        target: Target,
        /// For how long.
        length: Duration,
    },
    /// Packets between the machine and one other, or all others, vanish.
    Partition {
        /// The machine.
        target: Target,
        /// The other; all if absent.
        from: Option<Target>,
        /// Which packets vanish.
        direction: PartitionDirection,
        /// For how long.
        length: Duration,
    },
    /// Every connection of the machine to other machines is reset.
    Reset {
        /// The machine.
        target: Target,
    },
    /// The disk misbehaves for a while.
    Disk {
        /// The control node.
        target: Target,
        /// How it misbehaves.
        fault: DiskFault,
        /// For how long.
        length: Duration,
    },
    /// The monotonic clock jumps ahead.
    ClockJump {
        /// Whose clock.
        target: Target,
        /// By how much.
        by: Duration,
    },
    /// The monotonic clock runs fast or slow from now on.
    ClockDrift {
        /// Whose clock.
        target: Target,
        /// Parts per million; below 0 is slow.
        ppm: i32,
    },
    /// The registry declares a backend draining; it shuts down later and a new one starts.
    Retire {
        /// The backend.
        target: Target,
    },
    /// Answers of all backends go wrong now and then, for a while.
    Answers {
        /// How they go wrong.
        fault: AnswerFault,
        /// For how long.
        length: Duration,
    },
    /// The registry's published list does not change for a while.
    FrozenRegistry {
        /// For how long.
        length: Duration,
    },
    /// Two operators send different orders on the same base, to different nodes.
    Race,
    /// Replies to operators are lost for a while; they send the same order to another node.
    LostReplies {
        /// For how long.
        length: Duration,
    },
    /// An operator revokes a tenant's key.
    Revoke,
    /// Callers send this many times as much for a while.
    Burst {
        /// Factor on the rates.
        times: u32,
        /// For how long.
        length: Duration,
    },
    /// One tenant sends nearly everything for a while.
    HotTenant {
        /// For how long.
        length: Duration,
    },
    /// Restarts one after the other.
    Roll {
        /// What is restarted.
        kind: RollKind,
    },
    /// Operators send orders one after the other, as fast as they are acknowledged.
    Orders {
        /// How many.
        count: u32,
    },
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// Time from the start of the run.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}
