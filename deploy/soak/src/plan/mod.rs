//! Seeded plans of disruptions. Each machine, the control machines together and the backends have a timeline of their
//! own, so that what happens to them overlaps.

pub mod backend_plan;
pub mod control_plan;
pub mod front_plan;
pub mod turnover;

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use backend_plan::BackendStep;
pub use control_plan::{ControlAction, ControlStep};
pub use front_plan::{DrainSignal, DrainSignalKind, FrontAction, FrontStep};
pub use turnover::Turnover;

/// Steps of each timeline; more than fit into a run, which ends the timelines by time.
const STEPS: usize = 64;

/// Disruptions of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakPlan {
    /// Steps of each proxy machine.
    pub fronts: Vec<Vec<FrontStep>>,
    /// Steps of the control machines.
    pub control: Vec<ControlStep>,
    /// Steps of the backends.
    pub backends: Vec<BackendStep>,
}

impl SoakPlan {
    /// Draws the plan of a seed for this many proxy and control machines.
    #[must_use]
    pub fn draw(seed: u64, fronts: usize, controls: usize) -> Self {
        let fronts = (0..fronts).map(|index| {
            let mut random = timeline(seed, index as u64);
            (0..STEPS).map(|_| FrontStep::draw(&mut random)).collect()
        });
        let fronts = fronts.collect();
        let mut random = timeline(seed, u64::MAX);
        let control = (0..STEPS).map(|_| ControlStep::draw(&mut random, controls));
        let control = control.collect();
        let mut random = timeline(seed, u64::MAX - 1);
        let backends = (0..STEPS).map(|_| BackendStep::draw(&mut random));
        let mut plan = Self {
            fronts,
            control,
            backends: backends.collect(),
        };
        if let Some(turnover) = Turnover::draw(&mut timeline(seed, u64::MAX - 2)) {
            turnover.begin(&mut plan, controls);
        }
        plan
    }
}

/// Generator of one timeline.
#[must_use]
pub fn timeline(seed: u64, number: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number);
    random
}

/// Draws a duration between two bounds in milliseconds, both included.
fn millis(random: &mut impl Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..=to))
}
