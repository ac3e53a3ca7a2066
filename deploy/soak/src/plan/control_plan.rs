//! Disruptions of the control machines: one at a time counts as lost, as the deployment must bear.

use std::time::Duration;

use rand::Rng;

use super::millis;

/// What is done to the control machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlAction {
    /// SIGKILL to one machine, which starts again with its disk.
    Kill {
        /// Time from the kill to the start.
        down: Duration,
    },
    /// SIGKILL to one machine, which starts again with an empty disk.
    Wipe {
        /// Time from the kill to the start.
        down: Duration,
    },
    /// SIGKILL to all machines at once; they start again with their disks.
    KillAll {
        /// Time from the kill to the start.
        down: Duration,
    },
    /// SIGTERM to one machine, which starts again after its end.
    Terminate {
        /// Time from the end to the start.
        down: Duration,
    },
    /// SIGSTOP to one machine, and SIGCONT after this time.
    Freeze {
        /// Time from SIGSTOP to SIGCONT.
        duration: Duration,
    },
    /// SIGKILL to one machine for good; an empty one starts at another address after this time.
    Replace {
        /// Time from the kill to the start of the successor.
        delay: Duration,
    },
    /// An empty machine starts, and another gets SIGTERM for good after this time.
    ReplaceAsPlanned {
        /// Time from the start of the successor to SIGTERM.
        delay: Duration,
    },
    /// Two empty machines start, one after the other has caught up; then two others get SIGTERM for good.
    ReplaceTwoAsPlanned {
        /// Time from the end of the first to SIGTERM to the second.
        gap: Duration,
    },
    /// SIGSTOP to one machine while each of the others is replaced as planned; then SIGCONT.
    FreezeWhileOthersAreReplaced {
        /// Whether SIGHUP follows SIGCONT.
        hangs_up: bool,
    },
    /// SIGHUP to one machine.
    HangUp,
}

/// A disruption of a machine and the pause before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlStep {
    /// Time after the machine of the previous step has caught up.
    pub pause: Duration,
    /// Index of the machine.
    pub machine: usize,
    /// What is done.
    pub action: ControlAction,
}

impl ControlStep {
    /// Draws a step for one of this many machines.
    #[must_use]
    pub fn draw(random: &mut impl Rng, machines: usize) -> Self {
        let pause = millis(random, 0, 4000);
        let machine = random.random_range(0..machines.max(1));
        let action = match random.random_range(0..14) {
            0..=1 => ControlAction::Kill {
                down: millis(random, 50, 3500),
            },
            2 => ControlAction::Wipe {
                down: millis(random, 50, 1500),
            },
            3 => ControlAction::KillAll {
                down: millis(random, 50, 800),
            },
            4..=5 => ControlAction::Terminate {
                down: millis(random, 50, 1500),
            },
            6 => ControlAction::Freeze {
                duration: millis(random, 200, 6000),
            },
            7..=8 => ControlAction::Replace {
                delay: millis(random, 100, 2000),
            },
            9..=10 => ControlAction::ReplaceAsPlanned {
                delay: millis(random, 4100, 8000),
            },
            11 => ControlAction::FreezeWhileOthersAreReplaced {
                hangs_up: random.random_bool(0.5),
            },
            12 => ControlAction::ReplaceTwoAsPlanned {
                gap: millis(random, 300, 2000),
            },
            _ => ControlAction::HangUp,
        };
        Self {
            pause,
            machine,
            action,
        }
    }
}
