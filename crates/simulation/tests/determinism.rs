//! The same seed gives the same run.

use millford_simulation::runner::run_scenario;
use millford_simulation::scenario::Scenario;
use millford_simulation::world::RunOptions;

const TEXT: &str = "
scenario determinism
site small
duration 15s
draw 6 from 3s to 10s
";

fn trace(seed: u64) -> (u64, u64) {
    let scenario = Scenario::parse(TEXT).expect("the text is right");
    let options = RunOptions {
        seed,
        ..RunOptions::default()
    };
    let report = run_scenario(&scenario, options);
    (report.trace_hash, report.events)
}

#[test]
fn the_same_seed_gives_the_same_trace_hash_and_another_seed_another() {
    let first = trace(7);
    assert_eq!(first, trace(7));
    assert_ne!(first, trace(8));
    assert!(first.1 > 1000, "the run did something");
}
