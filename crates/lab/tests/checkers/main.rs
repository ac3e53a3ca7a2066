//! Each check of a guarantee accepts a valid history and detects a violation added to it.

mod histories;

use millford_core::{ResultCode, RunState};
use millford_lab::answer_text::AnswerText;
use millford_lab::caller::Ending;
use millford_lab::checks::check_all;
use millford_lab::checks::history::{
    ConfirmedReadSeen, Disturbance, OrderResult, RevocationSeen, TenantQuota,
};
use millford_lab::emulator::execution::ExecutionEnd;

use histories::{SECOND, applied_revision, assert_detected, call, clean, execution, order, refuse};

#[test]
fn a_valid_history_passes_and_all_guarantees_but_three_are_exercised() {
    let report = check_all(&clean());
    assert!(report.holds(), "{}", report.table());
    let not_exercised: Vec<_> = report
        .verdicts
        .iter()
        .filter(|verdict| verdict.judged == 0)
        .map(|v| v.guarantee)
        .collect();
    assert_eq!(not_exercised.len(), 3, "{not_exercised:?}");
}

#[test]
fn a_second_execution_of_a_non_idempotent_request_is_detected() {
    let mut history = clean();
    history.executions.push(execution("m3", 2 * SECOND));
    assert_detected(&history, "at most one run");
}

#[test]
fn a_false_not_run_claim_is_detected() {
    let mut history = clean();
    refuse(
        &mut history.calls[5],
        ResultCode::NoBackend,
        RunState::NotRun,
    );
    assert_detected(&history, "not run");
}

#[test]
fn an_execution_after_a_failed_connection_is_detected() {
    let mut history = clean();
    history.calls[5].chunks.clear();
    history.calls[5].ending = Ending::NotConnected;
    assert_detected(&history, "not run");
}

#[test]
fn an_execution_of_a_resent_request_does_not_contradict_the_earlier_rejection() {
    let mut history = clean();
    let mut refused = call("m9", SECOND);
    refuse(&mut refused, ResultCode::ClaimUnavailable, RunState::NotRun);
    history.calls.push(refused);
    assert!(check_all(&history).holds());
}

#[test]
fn a_response_to_another_request_is_detected() {
    let mut history = clean();
    history.calls[5].chunks = call("m6", history.calls[5].started_micros).chunks;
    assert_detected(&history, "to another request");
}

#[test]
fn a_chunk_of_another_run_is_detected() {
    let mut history = clean();
    history.calls[5].chunks[2].text = AnswerText::new("m5", "other run").chunk(2);
    assert_detected(&history, "to another request");
}

#[test]
fn a_crossed_lookup_response_is_detected() {
    let mut history = clean();
    let lookup = &mut history.calls[5];
    lookup.model = "lookup".to_owned();
    lookup.streamed = false;
    lookup.chunks.truncate(1);
    let answer = millford_lab::emulator::lookup::LookupAnswer::new("/catalogue/1", "m6");
    lookup.chunks[0].text = serde_json::to_string(&answer).expect("JSON");
    assert_detected(&history, "to another request");
}

#[test]
fn a_skipped_chunk_is_detected() {
    let mut history = clean();
    history.calls[5].chunks[3].sequence = Some(4);
    assert_detected(&history, "no chunk skipped");
}

#[test]
fn a_repeated_chunk_is_detected() {
    let mut history = clean();
    history.calls[5].chunks[3].sequence = Some(2);
    assert_detected(&history, "no chunk skipped");
}

#[test]
fn a_truncated_response_reported_as_complete_is_detected() {
    let mut history = clean();
    history.calls[5].chunks.truncate(2);
    history.calls[5].ending = Ending::FalseEnd;
    assert_detected(&history, "no chunk skipped");
    history.calls[5].ending = Ending::Success;
    assert_detected(&history, "no chunk skipped");
}

#[test]
fn a_success_without_a_backend_execution_is_detected() {
    let mut history = clean();
    history.executions[5].end = Some(ExecutionEnd::Cancelled);
    assert_detected(&history, "every success");
}

#[test]
fn a_tenant_key_forwarded_to_a_backend_is_detected() {
    let mut history = clean();
    history.executions[5].saw_credential = true;
    assert_detected(&history, "tenant key");
}

#[test]
fn retries_beyond_the_budget_are_detected() {
    let mut history = clean();
    for number in 10..17 {
        history
            .executions
            .push(execution(&format!("m{number}"), 9 * SECOND));
    }
    assert_detected(&history, "second sends");
}

#[test]
fn a_revision_regression_is_detected() {
    let mut history = clean();
    history.applied_revisions.push(applied_revision(1, 700));
    assert_detected(&history, "falls back");
}

#[test]
fn a_revision_regression_seen_by_a_caller_is_detected_unless_the_node_was_not_ready() {
    let mut history = clean();
    history.calls[5].revision = Some(0);
    assert_detected(&history, "falls back");
    refuse(
        &mut history.calls[5],
        ResultCode::NotReady,
        RunState::NotRun,
    );
    history.executions.retain(|run| run.marker != "m5");
    assert!(check_all(&history).holds());
}

#[test]
fn overlapping_responses_are_no_revision_regression() {
    let mut history = clean();
    history.applied_revisions.push(applied_revision(1, 605));
    assert!(check_all(&history).holds());
}

#[test]
fn two_accepted_orders_on_one_base_revision_are_detected() {
    let mut history = clean();
    history
        .orders
        .push(order("other", 1, 500, OrderResult::Accepted(2)));
    assert_detected(&history, "one winner");
}

#[test]
fn a_rejected_resend_of_an_accepted_order_is_detected() {
    let mut history = clean();
    let conflict = OrderResult::Refused(ResultCode::RevisionConflict.number());
    history.orders.push(order("second", 1, 500, conflict));
    assert_detected(&history, "one winner");
}

#[test]
fn a_lost_acknowledged_configuration_is_detected() {
    let mut history = clean();
    history.reads.push(ConfirmedReadSeen {
        requested_micros: 900,
        revision: 1,
    });
    assert_detected(&history, "survive");
}

#[test]
fn a_revoked_key_that_is_still_accepted_is_detected() {
    let mut history = clean();
    history.revocations.push(RevocationSeen {
        tenant: "library".to_owned(),
        acknowledged_micros: SECOND / 2,
        restored_micros: None,
    });
    assert_detected(&history, "revoked key");
}

#[test]
fn a_late_configuration_adoption_is_detected_unless_the_node_was_disturbed() {
    let mut history = clean();
    let last = history
        .calls
        .iter_mut()
        .filter(|call| call.started_micros > 3 * SECOND);
    last.for_each(|call| call.proxy = 7);
    let late = history.calls.iter_mut().filter(|call| call.proxy == 7);
    late.for_each(|call| call.revision = Some(1));
    assert_detected(&history, "adopted within");
    let disturbance = Disturbance {
        from_micros: 0,
        until_micros: 5 * SECOND,
    };
    history.disturbances.push(disturbance);
    assert!(check_all(&history).holds());
}

#[test]
fn new_work_on_a_draining_backend_is_detected() {
    let mut history = clean();
    history.drains[0].backend = "model-1".to_owned();
    history.drains[0].ordered_micros = 0;
    assert_detected(&history, "draining");
}

#[test]
fn admissions_over_the_quota_are_detected() {
    let mut history = clean();
    let quota = TenantQuota {
        requests_per_second: 1,
        burst: 10,
    };
    history.quotas.insert("library".to_owned(), quota);
    assert_detected(&history, "quota holds");
}

#[test]
fn a_rejection_under_the_quota_is_detected() {
    let mut history = clean();
    let mut refused = call("extra", 2 * SECOND);
    refuse(&mut refused, ResultCode::QuotaExceeded, RunState::NotRun);
    history.calls.push(refused);
    assert_detected(&history, "under its quota");
}

#[test]
fn a_rejection_without_a_quota_decision_is_detected_unless_disturbed() {
    let mut history = clean();
    let mut refused = call("extra", 2 * SECOND);
    refuse(&mut refused, ResultCode::QuotaUnavailable, RunState::NotRun);
    history.calls.push(refused);
    assert_detected(&history, "under its quota");
    let disturbance = Disturbance {
        from_micros: SECOND,
        until_micros: 3 * SECOND,
    };
    history.disturbances.push(disturbance);
    assert!(check_all(&history).holds());
}

#[test]
fn a_rejection_over_the_quota_is_no_violation() {
    let mut history = clean();
    for number in 0..40 {
        let marker = format!("burst{number}");
        history.calls.push(call(&marker, 2 * SECOND));
    }
    let mut refused = call("extra", 2 * SECOND);
    refuse(&mut refused, ResultCode::QuotaExceeded, RunState::NotRun);
    history.calls.push(refused);
    let report = check_all(&history);
    let refusals = report
        .verdicts
        .iter()
        .find(|verdict| verdict.guarantee.contains("under its quota"));
    assert!(refusals.expect("a verdict").holds());
}

#[test]
fn a_slow_or_missing_recovery_is_detected() {
    let mut history = clean();
    history.recoveries[0].served_micros = Some(14 * SECOND);
    assert_detected(&history, "returns within");
    history.recoveries[0].served_micros = None;
    assert_detected(&history, "returns within");
}
