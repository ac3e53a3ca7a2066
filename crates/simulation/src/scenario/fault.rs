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
    /// Only what the target sends.
    Outward,
    /// Only what the target would receive.
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
    /// The process dies without warning and is started again after `down`.
    Kill { target: Target, down: Duration },
    /// As a kill, and the disk is empty afterwards.
    Wipe { target: Target, down: Duration },
    /// The machine is lost for good; an empty one comes at a new address after `down`.
    Replace { target: Target, down: Duration },
    /// The process stops for a while and goes on as if nothing had been (SIGSTOP).
    Freeze { target: Target, length: Duration },
    /// Packets between the machine and one other, or all others, vanish.
    Partition {
        target: Target,
        from: Option<Target>,
        direction: PartitionDirection,
        length: Duration,
    },
    /// Every connection of the machine is reset.
    Reset { target: Target },
    /// The disk misbehaves for a while.
    Disk {
        target: Target,
        fault: DiskFault,
        length: Duration,
    },
    /// The monotonic clock jumps ahead.
    ClockJump { target: Target, by: Duration },
    /// The monotonic clock runs fast or slow from now on.
    ClockDrift { target: Target, ppm: i32 },
    /// The registry declares a backend draining; it shuts down later and a new one starts.
    Retire { target: Target },
    /// Answers of all backends go wrong now and then, for a while.
    Answers {
        fault: AnswerFault,
        length: Duration,
    },
    /// The registry's list stands still for a while.
    FrozenRegistry { length: Duration },
    /// Two operators send different orders on the same base, to different nodes.
    Race,
    /// Operators' answers are lost for a while; they send the same order to another node.
    LostAnswers { length: Duration },
    /// An operator revokes a tenant's key.
    Revoke,
    /// Callers send this many times as much for a while.
    Burst { times: u32, length: Duration },
    /// One tenant sends nearly everything for a while.
    HotTenant { length: Duration },
    /// Restarts one after the other.
    Roll { kind: RollKind },
    /// Operators send this many orders one after the other, as fast as they are acknowledged.
    Orders { count: u32 },
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// Time from the start of the run.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}
