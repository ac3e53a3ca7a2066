//! Draws random faults from the seed. Faults may overlap and repeat.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::scenario::{
    AnswerFault, Choice, DiskFault, Draw, Fault, FaultClass, PartitionDirection, RollKind, Target,
    TargetKind, TimedFault,
};

/// Range of the duration of a short fault, in milliseconds.
const SHORT_MILLIS: Range<u64> = 200..3_000;
/// Range of the duration of a medium fault, in milliseconds.
const MIDDLE_MILLIS: Range<u64> = 1_000..8_000;
/// Range of the duration of a long fault, in milliseconds.
const LONG_MILLIS: Range<u64> = 5_000..24_000;
/// Range of the duration of a sync on a slow disk, in milliseconds.
const SLOW_SYNC_MILLIS: Range<u64> = 5..400;
/// Range of a clock's drift, in parts per million.
const DRIFT_PPM: Range<i32> = -500..500;
/// Range of the factor of a burst.
const BURST: Range<u32> = 2..6;
/// Range of the number of orders that are sent in sequence.
const ORDERS: Range<u32> = 5..40;

/// Generator of random faults.
pub(super) struct FaultDraws<'random> {
    /// Random number generator of the run.
    pub(super) random: &'random mut ChaCha8Rng,
}

impl FaultDraws<'_> {
    /// Returns the faults of one draw, not sorted by time.
    pub(super) fn draw_faults(&mut self, draw: &Draw) -> Vec<TimedFault> {
        let mut faults = Vec::new();
        for _ in 0..draw.count {
            let index = self.random.random_range(0..draw.classes.len().max(1));
            let Some(class) = draw.classes.get(index).copied() else {
                continue;
            };
            let from = u64::try_from(draw.from.as_millis()).unwrap_or(0);
            let to = u64::try_from(draw.to.as_millis()).unwrap_or(u64::MAX);
            let at = Duration::from_millis(self.random.random_range(from..to));
            let fault = self.draw_fault(class);
            let fault = limit_duration(fault, draw.to.saturating_sub(at));
            faults.push(TimedFault { at, fault });
        }
        faults
    }

    fn draw_fault(&mut self, class: FaultClass) -> Fault {
        match class {
            FaultClass::ProxyNodes => self.draw_proxy_node_fault(),
            FaultClass::ControlNodes => self.draw_control_node_fault(),
            FaultClass::Network => self.draw_network_fault(),
            FaultClass::Disks => self.draw_disk_fault(),
            FaultClass::Clocks => self.draw_clock_fault(),
            FaultClass::Backends => self.draw_backend_fault(),
            FaultClass::Operators => self.draw_operator_fault(),
            FaultClass::Load => self.draw_load_fault(),
        }
    }

    fn draw_proxy_node_fault(&mut self) -> Fault {
        let kinds = [TargetKind::ProxyNode, TargetKind::Agent, TargetKind::Proxy];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        match self.random.random_range(0..8) {
            0..4 => Fault::Kill {
                target: Target::any(kind),
                down: self.draw_length(SHORT_MILLIS),
            },
            4..6 => Fault::Freeze {
                target: Target::any(kind),
                length: self.draw_length(LONG_MILLIS),
            },
            6 => Fault::Roll {
                kind: RollKind::ProxyNodes,
            },
            _ => Fault::Kill {
                target: Target::all(kind),
                down: self.draw_length(SHORT_MILLIS),
            },
        }
    }

    fn draw_control_node_fault(&mut self) -> Fault {
        let target = self.draw_control_node();
        match self.random.random_range(0..10) {
            0..3 => Fault::Kill {
                target,
                down: self.draw_length(MIDDLE_MILLIS),
            },
            3..5 => Fault::Freeze {
                target,
                length: self.draw_length(LONG_MILLIS),
            },
            5 => Fault::Wipe {
                target,
                down: self.draw_length(SHORT_MILLIS),
            },
            6..8 => Fault::Replace {
                target,
                down: self.draw_length(SHORT_MILLIS),
            },
            8 => Fault::Roll {
                kind: RollKind::ControlNodes,
            },
            _ => Fault::Kill {
                target: Target::all(TargetKind::ControlNode),
                down: self.draw_length(SHORT_MILLIS),
            },
        }
    }

    fn draw_control_node(&mut self) -> Target {
        let choice = if self.random.random_bool(0.4) {
            Choice::Leader
        } else {
            Choice::Any
        };
        Target {
            kind: TargetKind::ControlNode,
            choice,
        }
    }

    fn draw_network_fault(&mut self) -> Fault {
        let target = if self.random.random_bool(0.6) {
            self.draw_control_node()
        } else {
            Target::any(TargetKind::ProxyNode)
        };
        let directions = [
            PartitionDirection::Both,
            PartitionDirection::Outward,
            PartitionDirection::Inward,
        ];
        let direction = directions[self.random.random_range(0..directions.len())];
        match self.random.random_range(0..6) {
            0..3 => Fault::Partition {
                target,
                from: None,
                direction,
                length: self.draw_length(LONG_MILLIS),
            },
            3..5 => Fault::Partition {
                target,
                from: Some(Target::any(TargetKind::ControlNode)),
                direction,
                length: self.draw_length(LONG_MILLIS),
            },
            _ => Fault::Reset { target },
        }
    }

    fn draw_disk_fault(&mut self) -> Fault {
        let fault = match self.random.random_range(0..4) {
            0 => DiskFault::Slow(self.draw_length(SLOW_SYNC_MILLIS)),
            1 => DiskFault::Stalled,
            2 => DiskFault::Full,
            _ => DiskFault::FailingSync,
        };
        Fault::Disk {
            target: self.draw_control_node(),
            fault,
            length: self.draw_length(MIDDLE_MILLIS),
        }
    }

    fn draw_clock_fault(&mut self) -> Fault {
        let kinds = [
            TargetKind::ControlNode,
            TargetKind::Agent,
            TargetKind::Proxy,
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        let target = Target::any(kind);
        Fault::ClockDrift {
            target,
            ppm: self.random.random_range(DRIFT_PPM),
        }
    }

    fn draw_backend_fault(&mut self) -> Fault {
        let kind = if self.random.random_bool(0.7) {
            TargetKind::Model
        } else {
            TargetKind::Lookup
        };
        let target = Target::any(kind);
        match self.random.random_range(0..9) {
            0..2 => Fault::Kill {
                target,
                down: self.draw_length(MIDDLE_MILLIS),
            },
            2..4 => Fault::Freeze {
                target,
                length: self.draw_length(MIDDLE_MILLIS),
            },
            4 => Fault::Retire { target },
            5 => Fault::Roll {
                kind: RollKind::Models,
            },
            6 => Fault::FrozenRegistry {
                length: self.draw_length(MIDDLE_MILLIS),
            },
            _ => {
                let index = self.random.random_range(0..AnswerFault::ALL.len());
                Fault::Answers {
                    fault: AnswerFault::ALL[index],
                    length: self.draw_length(MIDDLE_MILLIS),
                }
            }
        }
    }

    fn draw_operator_fault(&mut self) -> Fault {
        match self.random.random_range(0..5) {
            0..2 => Fault::Race,
            2 => Fault::LostReplies {
                length: self.draw_length(MIDDLE_MILLIS),
            },
            3 => Fault::Revoke,
            _ => Fault::Orders {
                count: self.random.random_range(ORDERS),
            },
        }
    }

    fn draw_load_fault(&mut self) -> Fault {
        if self.random.random_bool(0.5) {
            Fault::Burst {
                times: self.random.random_range(BURST),
                length: self.draw_length(SHORT_MILLIS),
            }
        } else {
            Fault::HotTenant {
                length: self.draw_length(MIDDLE_MILLIS),
            }
        }
    }

    fn draw_length(&mut self, millis: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(millis))
    }
}

/// Limits kills, freezes, partitions and disk faults to the time left in the draw, so that the rest of the
/// run shows the recovery.
fn limit_duration(fault: Fault, left: Duration) -> Fault {
    match fault {
        Fault::Kill { target, down } => Fault::Kill {
            target,
            down: down.min(left),
        },
        Fault::Freeze { target, length } => Fault::Freeze {
            target,
            length: length.min(left),
        },
        Fault::Partition {
            target,
            from,
            direction,
            length,
        } => Fault::Partition {
            target,
            from,
            direction,
            length: length.min(left),
        },
        Fault::Disk {
            target,
            fault,
            length,
        } => Fault::Disk {
            target,
            fault,
            length: length.min(left),
        },
        other => other,
    }
}
