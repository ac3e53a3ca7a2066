//! Claims: a request that may not be repeated runs at most once.

use crate::fixtures::Machine;
use millford_api::command::{
    AdvanceClock, Claim, ClaimResult, ResolveClaim, RunOutcome, command::Kind, command_result,
};
use millford_control_state::ShardMachine;
use millford_control_state::machine::CLAIM_RETENTION_MS;
use millford_core::{ResultCode, ShardId};
use quickcheck::{Arbitrary, Gen, quickcheck};

impl Machine {
    fn claim(&mut self, attempt: &str) -> ClaimResult {
        let applied = self.apply_kind(Kind::Claim(claim(attempt, 1)));
        match applied.result.kind {
            Some(command_result::Kind::Claim(result)) => result,
            _ => panic!("the result is not a reply to a claim: {applied:?}"),
        }
    }

    fn resolve(&mut self, attempt: &str, outcome: RunOutcome) {
        let applied = self.apply_kind(Kind::ResolveClaim(resolve(attempt, outcome)));
        assert_eq!(applied.result.code, 0, "{applied:?}");
    }

    fn advance(&mut self, elapsed_ms: u64) {
        self.apply_kind(Kind::AdvanceClock(AdvanceClock { elapsed_ms }));
    }
}

fn claim(attempt: &str, digest: u8) -> Claim {
    Claim {
        tenant: "library".to_owned(),
        request_id: "request".to_owned(),
        attempt_id: attempt.to_owned(),
        digest: vec![digest],
    }
}

fn resolve(attempt: &str, outcome: RunOutcome) -> ResolveClaim {
    ResolveClaim {
        tenant: "library".to_owned(),
        request_id: "request".to_owned(),
        attempt_id: attempt.to_owned(),
        outcome: outcome.into(),
    }
}

#[test]
fn a_resent_claim_of_the_same_attempt_is_granted_again() {
    let mut machine = Machine::new(ShardId(1));
    assert!(machine.claim("a").granted);
    assert!(machine.claim("a").granted);
    let other = machine.claim("b");
    assert!(!other.granted);
    assert_eq!(other.outcome(), RunOutcome::RunUnknown);
}

#[test]
fn a_resolved_claim_returns_its_outcome_and_is_not_granted_again() {
    for outcome in [RunOutcome::RunCompleted, RunOutcome::RunFailed] {
        let mut machine = Machine::new(ShardId(1));
        machine.claim("a");
        machine.resolve("a", outcome);
        for attempt in ["a", "b"] {
            let result = machine.claim(attempt);
            assert!(!result.granted, "{result:?}");
            assert_eq!(result.outcome(), outcome);
        }
    }
}

#[test]
fn only_the_first_resolution_by_the_granted_attempt_counts() {
    let mut machine = Machine::new(ShardId(1));
    machine.claim("a");
    machine.resolve("b", RunOutcome::RunNotRun);
    assert!(
        !machine.claim("c").granted,
        "b was never granted, so it cannot resolve the claim"
    );
    machine.resolve("a", RunOutcome::RunCompleted);
    machine.resolve("a", RunOutcome::RunNotRun);
    assert_eq!(machine.claim("d").outcome(), RunOutcome::RunCompleted);
}

#[test]
fn a_request_that_did_not_run_may_be_claimed_by_another_attempt_only() {
    let mut machine = Machine::new(ShardId(1));
    machine.claim("a");
    machine.resolve("a", RunOutcome::RunNotRun);
    assert!(
        !machine.claim("a").granted,
        "a delayed copy of the claim of attempt a"
    );
    assert!(machine.claim("b").granted);
}

#[test]
fn a_claim_that_arrives_after_its_attempt_was_abandoned_is_not_granted() {
    let mut machine = Machine::new(ShardId(1));
    machine.resolve("a", RunOutcome::RunNotRun);
    assert!(!machine.claim("a").granted);
    assert!(machine.claim("b").granted);
}

#[test]
fn an_idempotency_key_reused_for_another_body_is_refused() {
    let mut machine = Machine::new(ShardId(1));
    machine.claim("a");
    let applied = machine.apply_kind(Kind::Claim(claim("b", 2)));
    let expected = ResultCode::IdempotencyKeyReused.number();
    assert_eq!(applied.result.code, expected);
}

#[test]
fn claims_are_retained_for_a_day_of_shard_time() {
    let mut machine = Machine::new(ShardId(1));
    machine.claim("a");
    machine.advance(CLAIM_RETENTION_MS);
    assert_eq!(machine.machine.claim_count(), 1);
    machine.advance(1);
    assert_eq!(machine.machine.claim_count(), 0);
}

/// One step of a random history of a single request id.
#[derive(Clone, Debug)]
enum Step {
    Claim { attempt: u8 },
    Resolve { attempt: u8, outcome: i32 },
    SnapshotAndRestore,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let attempt = u8::arbitrary(generator) % 5;
        match u8::arbitrary(generator) % 5 {
            0 | 1 => Step::Claim { attempt },
            2 | 3 => Step::Resolve {
                attempt,
                outcome: i32::from(u8::arbitrary(generator) % 3) + 1,
            },
            _ => Step::SnapshotAndRestore,
        }
    }
}

quickcheck! {
    /// While one attempt may have run, no other is granted, also when messages are resent or
    /// delayed.
    fn at_most_one_attempt_may_run(steps: Vec<Step>) -> bool {
        let mut machine = Machine::new(ShardId(1));
        let mut running: Option<u8> = None;
        for step in steps {
            match step {
                Step::Claim { attempt } => {
                    if !machine.claim(&attempt.to_string()).granted {
                        continue;
                    }
                    if running.is_some_and(|other| other != attempt) {
                        return false;
                    }
                    running = Some(attempt);
                }
                Step::Resolve { attempt, outcome } => {
                    let outcome = RunOutcome::try_from(outcome).expect("an outcome");
                    machine.resolve(&attempt.to_string(), outcome);
                    if outcome == RunOutcome::RunNotRun && running == Some(attempt)
                        && machine.claim(&attempt.to_string()).outcome() == RunOutcome::RunNotRun {
                        running = None;
                    }
                }
                Step::SnapshotAndRestore => {
                    let data = machine.machine.snapshot();
                    machine.machine = ShardMachine::new(ShardId(1));
                    machine.machine.restore(&data).expect("a snapshot");
                }
            }
        }
        true
    }
}
