//! A proxy machine stands still while every control machine is replaced, so that all addresses that it knows are gone.

use std::time::Duration;

use rand::Rng;

use super::{ControlAction, ControlStep, FrontAction, FrontStep, SoakPlan, millis};
use crate::bounds::{CATCH_UP, SEED_LAG};

/// One in so many plans begins with a turnover.
const INTERVAL: u32 = 4;
/// Pause before the proxy machine stands still.
const PAUSE: Duration = Duration::from_secs(1);
/// Time from then to the first replacement. Control nodes close their connections to the machine within it, so that no
/// message about a successor waits there to be received.
const SILENCE: Duration = Duration::from_secs(5);
/// Time from the end of a control machine to the start of its successor.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(100);
/// Time that the proxy machine stands still after the seeds name the last successor.
const MARGIN: Duration = Duration::from_secs(2);

/// How a plan begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turnover {
    /// Additional time that the proxy machine stands still.
    pub longer: Duration,
    /// Whether the proxy machine gets SIGHUP when it runs again.
    pub hangs_up: bool,
}

impl Turnover {
    /// Draws whether a plan begins with a turnover.
    #[must_use]
    pub fn draw(random: &mut impl Rng) -> Option<Self> {
        random.random_ratio(1, INTERVAL).then(|| Self {
            longer: millis(random, 0, 4000),
            hangs_up: random.random_bool(0.5),
        })
    }

    /// Puts the steps before those of the first proxy machine and of this many control machines.
    pub fn begin(self, plan: &mut SoakPlan, controls: usize) {
        let replacements = (0..controls).map(|machine| ControlStep {
            pause: if machine == 0 {
                PAUSE + SILENCE
            } else {
                Duration::ZERO
            },
            machine,
            action: ControlAction::Replace {
                delay: REPLACEMENT_DELAY,
            },
        });
        plan.control.splice(0..0, replacements);
        if let Some(front) = plan.fronts.first_mut() {
            front.insert(0, self.front_step(controls));
        }
    }

    fn front_step(self, controls: usize) -> FrontStep {
        let replacement = REPLACEMENT_DELAY + CATCH_UP;
        let turnover = SILENCE + replacement * u32::try_from(controls).unwrap_or(u32::MAX);
        FrontStep {
            pause: PAUSE,
            action: FrontAction::Freeze {
                duration: turnover + SEED_LAG + MARGIN + self.longer,
                hangs_up: self.hangs_up,
            },
        }
    }
}
