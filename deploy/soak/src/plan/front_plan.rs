//! Disruptions of one proxy machine.

use std::time::Duration;

use rand::Rng;

use super::millis;

/// What is done to a proxy machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontAction {
    /// SIGTERM to all processes; they start again this long after they have ended.
    Terminate {
        /// Time from the end to the start.
        down: Duration,
        /// A further signal before the end, if any.
        meanwhile: Option<DrainSignal>,
    },
    /// SIGKILL to all processes, which start again after this time.
    Kill {
        /// Time from the kill to the start.
        down: Duration,
    },
    /// One role ends, and its process starts again after this time.
    RestartRole {
        /// Index of the role, modulo their number.
        role: usize,
        /// Whether the process gets SIGTERM; otherwise SIGKILL.
        is_graceful: bool,
        /// Time from the end to the start.
        down: Duration,
    },
    /// SIGSTOP to all processes, and SIGCONT after this time. The settings file is kept up to date meanwhile.
    Freeze {
        /// Time from SIGSTOP to SIGCONT.
        duration: Duration,
        /// Whether SIGHUP follows SIGCONT.
        hangs_up: bool,
    },
    /// SIGHUP to all processes.
    HangUp,
}

/// A signal to processes that have been told to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainSignal {
    /// Time after SIGTERM.
    pub after: Duration,
    /// Which signal.
    pub kind: DrainSignalKind,
}

/// Kind of a [`DrainSignal`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainSignalKind {
    /// SIGTERM once more.
    TerminateAgain,
    /// SIGHUP.
    HangUp,
    /// SIGSTOP, and SIGCONT after this time.
    Freeze(Duration),
}

impl DrainSignal {
    fn draw(random: &mut impl Rng) -> Option<Self> {
        let kind = match random.random_range(0..6) {
            0 => DrainSignalKind::TerminateAgain,
            1 => DrainSignalKind::HangUp,
            2 => DrainSignalKind::Freeze(millis(random, 100, 1500)),
            _ => return None,
        };
        let after = millis(random, 50, 5000);
        Some(Self { after, kind })
    }
}

/// A disruption and the pause before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontStep {
    /// Time after the end of the previous step.
    pub pause: Duration,
    /// What is done.
    pub action: FrontAction,
}

impl FrontStep {
    /// Draws a step. Terminations are drawn most often, since most restarts of a day are planned.
    #[must_use]
    pub fn draw(random: &mut impl Rng) -> Self {
        let pause = millis(random, 500, 9000);
        let action = match random.random_range(0..10) {
            0..=4 => FrontAction::Terminate {
                down: millis(random, 50, 1500),
                meanwhile: DrainSignal::draw(random),
            },
            5 => FrontAction::Kill {
                down: millis(random, 50, 3500),
            },
            6..=7 => FrontAction::RestartRole {
                role: random.random_range(0..2),
                is_graceful: random.random_bool(0.5),
                down: millis(random, 50, 1500),
            },
            8 => FrontAction::Freeze {
                duration: millis(random, 200, 6000),
                hangs_up: random.random_bool(0.5),
            },
            _ => FrontAction::HangUp,
        };
        Self { pause, action }
    }
}
