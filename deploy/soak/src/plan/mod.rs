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

use crate::stand_ins::ScriptedAnswer;

/// Steps of each timeline; more than fit into a run, which ends the timelines by time.
const STEPS: usize = 64;

/// Number of faulty backends of a plan that has some.
const FAULTY_BACKENDS: usize = 2;

/// Disruptions of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakPlan {
    /// Steps of each proxy machine.
    pub fronts: Vec<Vec<FrontStep>>,
    /// Steps of the control machines.
    pub control: Vec<ControlStep>,
    /// Steps of the backends.
    pub backends: Vec<BackendStep>,
    /// Answers of the faulty backends, which run all the time in a service of their own.
    pub faulty: Vec<ScriptedAnswer>,
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
            faulty: draw_faulty(&mut timeline(seed, u64::MAX - 3)),
        };
        if let Some(turnover) = Turnover::draw(&mut timeline(seed, u64::MAX - 2)) {
            turnover.begin(&mut plan, controls);
        }
        plan
    }
}

/// Draws the answers of faulty backends; half of the plans have some.
fn draw_faulty(random: &mut impl Rng) -> Vec<ScriptedAnswer> {
    if random.random_bool(0.5) {
        return Vec::new();
    }
    let draw = |_| ScriptedAnswer::ENDLESS[random.random_range(0..ScriptedAnswer::ENDLESS.len())];
    (0..FAULTY_BACKENDS).map(draw).collect()
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
