//! Every check finds the fault that it is there for, when the fault is planted.

mod group;

use group::network::NetworkConditions;
use group::simulation::{Defect, Simulation};
use millford_core::Duration;

const SEEDS: u64 = 2000;
const STEPS: u32 = 6000;
const FAULT_RATE: f64 = 0.01;
const HIGH_FAULT_RATE: f64 = 0.05;
const SIZE: u64 = 3;

const WEATHER: NetworkConditions = NetworkConditions {
    loss: 0.1,
    duplication: 0.05,
    max_delay: Duration::from_millis(60),
};
/// Slow messages make elections long, so that a restart falls into one.
const SLOW: NetworkConditions = NetworkConditions {
    loss: 0.1,
    duplication: 0.05,
    max_delay: Duration::from_millis(400),
};

/// Whether one of the first seeds shows a violation that holds the words.
fn is_caught(defect: Defect, conditions: NetworkConditions, fault_rate: f64, words: &str) -> bool {
    (0..SEEDS).any(|seed| {
        let mut simulation = Simulation::new(seed, SIZE, conditions, defect);
        simulation.run_chaos(STEPS, usize::try_from(SIZE).expect("small"), fault_rate);
        let violations = &simulation.history.violations;
        violations.iter().any(|violation| violation.contains(words))
    })
}

#[test]
fn lying_syncs_lose_committed_entries() {
    assert!(is_caught(
        Defect::LyingSyncs,
        WEATHER,
        FAULT_RATE,
        "lacks committed entry"
    ));
}

#[test]
fn lying_replaces_vote_twice() {
    assert!(is_caught(
        Defect::LyingReplaces,
        WEATHER,
        FAULT_RATE,
        "voted for"
    ));
}

#[test]
fn forgotten_votes_elect_two_leaders() {
    assert!(is_caught(
        Defect::ForgottenVotes,
        SLOW,
        HIGH_FAULT_RATE,
        "voted for"
    ));
    assert!(is_caught(
        Defect::ForgottenVotes,
        SLOW,
        HIGH_FAULT_RATE,
        "in term"
    ));
}

#[test]
fn a_reused_identity_loses_committed_entries() {
    assert!(is_caught(
        Defect::ReusedIdentity,
        WEATHER,
        FAULT_RATE,
        "lacks committed entry"
    ));
}

#[test]
fn a_reused_identity_changes_committed_entries() {
    assert!(is_caught(
        Defect::ReusedIdentity,
        WEATHER,
        FAULT_RATE,
        "committed another entry"
    ));
}

#[test]
fn unconfirmed_reads_are_stale() {
    assert!(is_caught(
        Defect::UnconfirmedReads,
        WEATHER,
        FAULT_RATE,
        "confirmed a read"
    ));
}

#[test]
fn altered_commands_break_log_matching() {
    assert!(is_caught(
        Defect::AlteredCommands,
        WEATHER,
        FAULT_RATE,
        "differ at"
    ));
    assert!(is_caught(
        Defect::AlteredCommands,
        WEATHER,
        FAULT_RATE,
        "committed another entry"
    ));
}
