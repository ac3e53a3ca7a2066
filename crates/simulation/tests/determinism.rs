//! Tests that a seed always gives the same run.

mod fixture;

const TEXT: &str = "
scenario determinism
site small
duration 15s
draw 6 from 3s to 10s
";

/// Trace hash and number of events of a run.
#[derive(Debug, PartialEq, Eq)]
struct Trace {
    hash: u64,
    events: u64,
}

fn trace(seed: u64) -> Trace {
    let report = fixture::run(TEXT, seed, None);
    Trace {
        hash: report.trace_hash,
        events: report.events,
    }
}

#[test]
fn runs_of_one_seed_are_equal_and_runs_of_two_seeds_differ() {
    let first = trace(7);
    assert_eq!(first, trace(7));
    assert_ne!(first, trace(8));
    assert!(first.events > 1000, "the run has too few events: {first:?}");
}
