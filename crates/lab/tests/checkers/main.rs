//! Each check of the promises passes a clean history and catches a planted defect.

mod histories;

use millford_core::{ResultCode, RunState};
use millford_lab::answer_text::AnswerText;
use millford_lab::caller::Ending;
use millford_lab::checks::check_all;
use millford_lab::checks::history::{
    ConfirmedReadSeen, Disturbance, OrderResult, RevocationSeen, TenantQuota,
};
use millford_lab::emulator::execution::ExecutionEnd;

use histories::{SECOND, assert_caught, call, clean, execution, order, refuse, shown};

#[test]
fn a_clean_history_holds_and_every_promise_but_three_is_tried() {
    let report = check_all(&clean());
    assert!(report.held(), "{}", report.table());
    let untried: Vec<_> = report
        .verdicts
        .iter()
        .filter(|verdict| verdict.judged == 0)
        .map(|v| v.promise)
        .collect();
    assert_eq!(untried.len(), 3, "{untried:?}");
}

#[test]
fn a_second_run_of_what_may_not_be_repeated_is_caught() {
    let mut history = clean();
    history.executions.push(execution("m3", 2 * SECOND));
    assert_caught(&history, "at most one run");
}

#[test]
fn a_false_not_run_is_caught() {
    let mut history = clean();
    refuse(
        &mut history.calls[5],
        ResultCode::NoBackend,
        RunState::NotRun,
    );
    assert_caught(&history, "not run");
}

#[test]
fn a_run_after_a_call_without_connection_is_caught() {
    let mut history = clean();
    history.calls[5].pieces.clear();
    history.calls[5].ending = Ending::NotConnected;
    assert_caught(&history, "not run");
}

#[test]
fn a_run_of_the_call_sent_again_does_not_speak_against_the_refusal() {
    let mut history = clean();
    let mut refused = call("m9", SECOND);
    refuse(&mut refused, ResultCode::ClaimUnavailable, RunState::NotRun);
    history.calls.push(refused);
    assert!(check_all(&history).held());
}

#[test]
fn another_requests_answer_is_caught() {
    let mut history = clean();
    history.calls[5].pieces = call("m6", history.calls[5].started_micros).pieces;
    assert_caught(&history, "another request's answer");
}

#[test]
fn a_piece_of_another_run_is_caught() {
    let mut history = clean();
    history.calls[5].pieces[2].text = AnswerText::new("m5", "other run").piece(2);
    assert_caught(&history, "another request's answer");
}

#[test]
fn a_crossed_lookup_is_caught() {
    let mut history = clean();
    let lookup = &mut history.calls[5];
    lookup.model = "lookup".to_owned();
    lookup.streamed = false;
    lookup.pieces.truncate(1);
    let answer = millford_lab::emulator::lookup::LookupAnswer::new("/catalogue/1", "m6");
    lookup.pieces[0].text = serde_json::to_string(&answer).expect("JSON");
    assert_caught(&history, "another request's answer");
}

#[test]
fn a_skipped_piece_is_caught() {
    let mut history = clean();
    history.calls[5].pieces[3].sequence = Some(4);
    assert_caught(&history, "no piece skipped");
}

#[test]
fn a_repeated_piece_is_caught() {
    let mut history = clean();
    history.calls[5].pieces[3].sequence = Some(2);
    assert_caught(&history, "no piece skipped");
}

#[test]
fn a_partial_answer_dressed_as_whole_is_caught() {
    let mut history = clean();
    history.calls[5].pieces.truncate(2);
    history.calls[5].ending = Ending::FalseEnd;
    assert_caught(&history, "no piece skipped");
    history.calls[5].ending = Ending::Success;
    assert_caught(&history, "no piece skipped");
}

#[test]
fn a_success_that_no_backend_gave_is_caught() {
    let mut history = clean();
    history.executions[5].end = Some(ExecutionEnd::Cancelled);
    assert_caught(&history, "every success");
}

#[test]
fn a_forwarded_key_is_caught() {
    let mut history = clean();
    history.executions[5].saw_credential = true;
    assert_caught(&history, "tenant key");
}

#[test]
fn too_many_second_sends_are_caught() {
    let mut history = clean();
    for number in 10..17 {
        history
            .executions
            .push(execution(&format!("m{number}"), 9 * SECOND));
    }
    assert_caught(&history, "second sends");
}

#[test]
fn a_step_back_of_a_revision_is_caught() {
    let mut history = clean();
    history.shown.push(shown(1, 700));
    assert_caught(&history, "falls back");
}

#[test]
fn a_step_back_shown_to_a_caller_is_caught_unless_the_node_was_not_ready() {
    let mut history = clean();
    history.calls[5].revision = Some(0);
    assert_caught(&history, "falls back");
    refuse(
        &mut history.calls[5],
        ResultCode::NotReady,
        RunState::NotRun,
    );
    history.executions.retain(|run| run.marker != "m5");
    assert!(check_all(&history).held());
}

#[test]
fn overlapping_answers_are_no_step_back() {
    let mut history = clean();
    history.shown.push(shown(1, 605));
    assert!(check_all(&history).held());
}

#[test]
fn two_winners_on_one_base_are_caught() {
    let mut history = clean();
    history
        .orders
        .push(order("other", 1, 500, OrderResult::Accepted(2)));
    assert_caught(&history, "one winner");
}

#[test]
fn a_resent_order_refused_is_caught() {
    let mut history = clean();
    let conflict = OrderResult::Refused(ResultCode::RevisionConflict.number());
    history.orders.push(order("second", 1, 500, conflict));
    assert_caught(&history, "one winner");
}

#[test]
fn a_lost_acknowledged_configuration_is_caught() {
    let mut history = clean();
    history.reads.push(ConfirmedReadSeen {
        asked_micros: 900,
        revision: 1,
    });
    assert_caught(&history, "survive");
}

#[test]
fn a_revoked_key_that_still_works_is_caught() {
    let mut history = clean();
    history.revocations.push(RevocationSeen {
        tenant: "library".to_owned(),
        acknowledged_micros: SECOND / 2,
        restored_micros: None,
    });
    assert_caught(&history, "revoked key");
}

#[test]
fn a_late_adoption_is_caught_unless_the_node_was_disturbed() {
    let mut history = clean();
    let last = history
        .calls
        .iter_mut()
        .filter(|call| call.started_micros > 3 * SECOND);
    last.for_each(|call| call.proxy = 7);
    let late = history.calls.iter_mut().filter(|call| call.proxy == 7);
    late.for_each(|call| call.revision = Some(1));
    assert_caught(&history, "adopted within");
    let disturbance = Disturbance {
        from_micros: 0,
        until_micros: 5 * SECOND,
    };
    history.disturbances.push(disturbance);
    assert!(check_all(&history).held());
}

#[test]
fn new_work_on_a_draining_backend_is_caught() {
    let mut history = clean();
    history.drains[0].backend = "model-1".to_owned();
    history.drains[0].ordered_micros = 0;
    assert_caught(&history, "draining");
}

#[test]
fn more_than_the_quota_is_caught() {
    let mut history = clean();
    let quota = TenantQuota {
        requests_per_second: 1,
        burst: 10,
    };
    history.quotas.insert("library".to_owned(), quota);
    assert_caught(&history, "quota holds");
}

#[test]
fn a_refusal_under_the_quota_is_caught() {
    let mut history = clean();
    let mut refused = call("extra", 2 * SECOND);
    refuse(&mut refused, ResultCode::QuotaExceeded, RunState::NotRun);
    history.calls.push(refused);
    assert_caught(&history, "under its quota");
}

#[test]
fn a_refusal_for_want_of_a_decision_is_caught_unless_disturbed() {
    let mut history = clean();
    let mut refused = call("extra", 2 * SECOND);
    refuse(&mut refused, ResultCode::QuotaUnavailable, RunState::NotRun);
    history.calls.push(refused);
    assert_caught(&history, "under its quota");
    let disturbance = Disturbance {
        from_micros: SECOND,
        until_micros: 3 * SECOND,
    };
    history.disturbances.push(disturbance);
    assert!(check_all(&history).held());
}

#[test]
fn a_refusal_over_the_quota_is_true() {
    let mut history = clean();
    for number in 0..40 {
        let marker = format!("burst{number}");
        history.calls.push(call(&marker, 2 * SECOND));
    }
    let mut refused = call("extra", 2 * SECOND);
    refuse(&mut refused, ResultCode::QuotaExceeded, RunState::NotRun);
    history.calls.push(refused);
    let report = check_all(&history);
    let turned_away = report
        .verdicts
        .iter()
        .find(|verdict| verdict.promise.contains("under its quota"));
    assert!(turned_away.expect("a verdict").held());
}

#[test]
fn a_slow_or_missing_recovery_is_caught() {
    let mut history = clean();
    history.recoveries[0].served_micros = Some(14 * SECOND);
    assert_caught(&history, "returns within");
    history.recoveries[0].served_micros = None;
    assert_caught(&history, "returns within");
}
