//! Each safety check detects the defect that it guards against, when a run plants that defect.

mod group;

use group::network::NetworkConditions;
use group::simulation::{Defect, Simulation};
use millford_core::Duration;

const SEEDS: u64 = 2000;
const STEPS: u32 = 6000;
const FAULT_RATE: f64 = 0.01;
const HIGH_FAULT_RATE: f64 = 0.05;
const SIZE: u64 = 3;

/// A network that loses and duplicates messages.
const LOSSY: NetworkConditions = NetworkConditions {
    loss: 0.1,
    duplication: 0.05,
    max_delay: Duration::from_millis(60),
};
/// A network with longer delays, which make elections long enough for a restart to happen during
/// one.
const LOSSY_AND_SLOW: NetworkConditions = NetworkConditions {
    loss: 0.1,
    duplication: 0.05,
    max_delay: Duration::from_millis(400),
};

/// Asserts that a run with one of the seeds has a violation whose text contains `words`.
fn assert_detected(defect: Defect, conditions: NetworkConditions, fault_rate: f64, words: &str) {
    let is_detected = (0..SEEDS).any(|seed| {
        let mut simulation = Simulation::new(seed, SIZE, conditions, defect);
        simulation.run_chaos(STEPS, usize::try_from(SIZE).expect("small"), fault_rate);
        let violations = &simulation.history.violations;
        violations.iter().any(|violation| violation.contains(words))
    });
    assert!(
        is_detected,
        "{defect:?}: no violation with {words:?} in the first {SEEDS} seeds"
    );
}

#[test]
fn ignored_syncs_lose_committed_entries() {
    assert_detected(
        Defect::IgnoredSyncs,
        LOSSY,
        FAULT_RATE,
        "lacks committed entry",
    );
}

#[test]
fn volatile_replaces_allow_two_votes_in_a_term() {
    assert_detected(Defect::VolatileReplaces, LOSSY, FAULT_RATE, "voted for");
}

#[test]
fn lost_votes_elect_two_leaders_in_a_term() {
    assert_detected(
        Defect::LostVotes,
        LOSSY_AND_SLOW,
        HIGH_FAULT_RATE,
        "voted for",
    );
    assert_detected(
        Defect::LostVotes,
        LOSSY_AND_SLOW,
        HIGH_FAULT_RATE,
        "in term",
    );
}

#[test]
fn a_reused_identity_loses_committed_entries() {
    assert_detected(
        Defect::ReusedIdentity,
        LOSSY,
        FAULT_RATE,
        "lacks committed entry",
    );
}

#[test]
fn a_reused_identity_changes_committed_entries() {
    assert_detected(
        Defect::ReusedIdentity,
        LOSSY,
        FAULT_RATE,
        "committed another entry",
    );
}

#[test]
fn unconfirmed_reads_are_stale() {
    assert_detected(
        Defect::UnconfirmedReads,
        LOSSY,
        FAULT_RATE,
        "confirmed a read",
    );
}

#[test]
fn altered_commands_break_log_matching() {
    assert_detected(Defect::AlteredCommands, LOSSY, FAULT_RATE, "differ at");
    assert_detected(
        Defect::AlteredCommands,
        LOSSY,
        FAULT_RATE,
        "committed another entry",
    );
}
