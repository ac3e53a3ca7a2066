//! Tests that a request on a route that is not repeatable runs at most once, and that "not run" is
//! reported only for requests that did not run.

mod support;

use millford_api::command::{ResolveClaim, RunOutcome};
use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_data_plane::agent_message::{AdmissionReply, ClaimAnswer};
use millford_proxy::request::environment::RequestEnvironment as _;
use millford_proxy::request::message::WithdrawAnswer;
use support::fixture::{Fixture, keyed_request, request, serve, serve_disconnecting};
use support::script::{AnswerScript, Script, Step, chunks, plain, status, stream};

const NOT_RUN: &str = "not_run";
const MAY_HAVE_RUN: &str = "may_have_run";

#[test]
fn a_request_that_is_not_repeatable_is_sent_once_when_its_backend_is_lost() {
    let environment = Fixture::not_repeatable().environment();
    environment.fill_retry_budget(3);
    environment.set_default_script(Script::LoseBeforeHead);
    let response = serve(&environment, request(false));
    assert_eq!(response.error().code, ResultCode::BackendLost);
    assert_eq!(response.error().run, MAY_HAVE_RUN);
    assert_eq!(environment.recorded().dispatches.len(), 1);
    assert_eq!(environment.recorded().withdrawals.len(), 1);
}

#[test]
fn only_a_confirmed_withdrawal_makes_a_sent_request_not_run() {
    for (answer, run) in [
        (WithdrawAnswer::Withdrawn, NOT_RUN),
        (WithdrawAnswer::Running, MAY_HAVE_RUN),
        (WithdrawAnswer::Finished, MAY_HAVE_RUN),
        (WithdrawAnswer::Unknown, MAY_HAVE_RUN),
    ] {
        let environment = Fixture::not_repeatable().environment();
        environment.set_default_script(Script::LoseBeforeHead);
        environment.answer_withdrawals(answer);
        let response = serve(&environment, request(false));
        assert_eq!(response.error().run, run, "{answer:?}");
        assert_eq!(environment.recorded().dispatches.len(), 1);
    }
}

#[test]
fn a_withdrawal_confirmed_after_its_timeout_is_ignored() {
    let environment = Fixture::not_repeatable().environment();
    let timeout = environment.state().limits.withdraw_timeout;
    environment.set_default_script(Script::LoseBeforeHead);
    environment.answer_withdrawals(WithdrawAnswer::Withdrawn);
    environment.delay_withdrawals(timeout + Duration::from_millis(1));
    let response = serve(&environment, request(false));
    assert_eq!(response.error().run, MAY_HAVE_RUN);
}

#[test]
fn the_age_of_an_attempt_includes_the_time_since_its_start_and_the_withdrawal_timeout() {
    let environment = Fixture::not_repeatable().environment();
    environment.set_default_script(Script::NeverAnswer);
    let response = serve(&environment, request(false));
    assert_eq!(response.error().code, ResultCode::DeadlineAfterSend);
    let sent_at = environment.sent()[0].at;
    let now = environment.clock.now();
    let recorded = environment.recorded();
    let withdrawal = &recorded.withdrawals[0];
    assert!(withdrawal.started <= sent_at);
    let limits = &environment.state().limits;
    assert!(withdrawal.age(now) >= now.since(sent_at) + limits.withdraw_timeout);
}

#[test]
fn one_unconfirmed_attempt_among_several_keeps_may_have_run() {
    let environment = Fixture::default().environment();
    environment.fill_retry_budget(5);
    environment.answer_withdrawals(WithdrawAnswer::Withdrawn);
    environment.set_default_script(status(503, false));
    let response = serve(&environment, request(false));
    // Without the run-state header, a status of 503 counts as a failure after the run.
    assert_eq!(response.error().code, ResultCode::BackendError);
    assert_eq!(response.error().run, MAY_HAVE_RUN);
}

#[test]
fn a_refused_connection_does_not_count_as_a_send() {
    let environment = Fixture::not_repeatable().environment();
    environment.set_default_script(Script::RefuseConnection);
    let response = serve(&environment, request(false));
    assert_eq!(response.error().code, ResultCode::ConnectFailed);
    assert_eq!(response.error().run, NOT_RUN);
    assert!(response.error().retry_after_ms.is_some());
    assert_eq!(environment.recorded().dispatches.len(), 3);
    assert!(environment.recorded().withdrawals.is_empty());
    assert!(environment.recorded().quota_releases[0].unused);
}

#[test]
fn another_backend_serves_when_one_refuses_connections() {
    let environment = Fixture::not_repeatable()
        .with_backends(&["b1", "b2"])
        .environment();
    environment.queue_script("b1", Script::RefuseConnection);
    environment.set_default_script(plain("{}"));
    // Both backends are equally likely to be chosen, so within ten requests b1 is chosen at
    // least once.
    for _ in 0..10 {
        let response = serve(&environment, request(false));
        assert_eq!(response.status(), 200);
    }
    assert!(!environment.state().health.is_usable("b1"));
    let recorded = environment.recorded();
    let refused = recorded
        .dispatches
        .iter()
        .filter(|dispatch| !dispatch.request.sent.is_set());
    assert_eq!(refused.count(), 1);
}

#[test]
fn a_refusal_before_work_is_not_run_and_resolves_the_claim_as_not_run() {
    let environment = Fixture::not_repeatable().environment();
    environment.set_default_script(status(503, true));
    let response = serve(&environment, keyed_request(false));
    assert_eq!(response.error().code, ResultCode::BackendRefused);
    assert_eq!(response.error().run, NOT_RUN);
    assert_eq!(environment.recorded().dispatches.len(), 1);
    let outcomes = resolved_outcomes(&environment);
    assert_eq!(outcomes, [RunOutcome::RunNotRun]);
}

#[test]
fn a_refusal_with_another_attempt_id_is_ignored() {
    let environment = Fixture::not_repeatable().environment();
    environment.set_default_script(Script::Answer(AnswerScript {
        status: 503,
        not_run: true,
        attempt_mismatch: true,
        ..AnswerScript::new(Vec::new())
    }));
    let response = serve(&environment, keyed_request(false));
    assert_eq!(response.error().code, ResultCode::AnswerMismatch);
    assert_eq!(response.error().run, MAY_HAVE_RUN);
    assert!(resolved_outcomes(&environment).is_empty());
}

#[test]
fn a_completed_run_is_recorded() {
    let environment = Fixture::not_repeatable().environment();
    environment.set_default_script(plain("{\"choices\":[]}"));
    let response = serve(&environment, keyed_request(false));
    assert_eq!(response.status(), 200);
    assert_eq!(resolved_outcomes(&environment), [RunOutcome::RunCompleted]);
    let recorded = environment.recorded();
    assert_eq!(recorded.claims.len(), 1);
    assert_eq!(recorded.claims[0].digest.len(), 32);
}

#[test]
fn a_claim_that_is_not_granted_is_answered_without_a_send() {
    let cases = [
        (
            ClaimAnswer::Taken(RunOutcome::RunCompleted),
            ResultCode::AlreadyCompleted,
            MAY_HAVE_RUN,
        ),
        (
            ClaimAnswer::Taken(RunOutcome::RunFailed),
            ResultCode::AlreadyFailed,
            MAY_HAVE_RUN,
        ),
        (
            ClaimAnswer::Taken(RunOutcome::RunUnknown),
            ResultCode::MayHaveRun,
            MAY_HAVE_RUN,
        ),
        (
            ClaimAnswer::KeyReused,
            ResultCode::IdempotencyKeyReused,
            NOT_RUN,
        ),
        (
            ClaimAnswer::Unavailable,
            ResultCode::ClaimUnavailable,
            NOT_RUN,
        ),
    ];
    for (answer, code, run) in cases {
        let environment = Fixture::not_repeatable().environment();
        environment.answer_claims(answer);
        let response = serve(&environment, keyed_request(false));
        assert_eq!(response.error().code, code);
        assert_eq!(response.error().run, run);
        assert!(environment.recorded().dispatches.is_empty());
        assert!(environment.recorded().quota_releases[0].unused);
    }
}

#[test]
fn a_claim_that_is_not_confirmed_in_time_is_resolved_as_not_run() {
    let environment = Fixture::not_repeatable().environment();
    environment.answer_claims(ClaimAnswer::Unavailable);
    let response = serve(&environment, keyed_request(false));
    assert!(response.error().retry_after_ms.is_some());
    assert_eq!(resolved_outcomes(&environment), [RunOutcome::RunNotRun]);
}

#[test]
fn a_key_on_a_repeatable_route_needs_no_claim() {
    let environment = Fixture::default().environment();
    let response = serve(&environment, keyed_request(true));
    assert!(response.is_done());
    assert!(environment.recorded().claims.is_empty());
}

#[test]
fn the_digest_differs_between_bodies_and_adapters() {
    let environment = Fixture::not_repeatable().environment();
    let mut other_body = keyed_request(false);
    other_body.body = String::from_utf8(other_body.body.to_vec())
        .expect("text")
        .replace("one", "two")
        .into();
    let mut other_adapter = keyed_request(false);
    other_adapter.headers.adapter = Some("captions".to_owned());
    environment.set_default_script(plain("{}"));
    serve(&environment, keyed_request(false));
    serve(&environment, keyed_request(false));
    serve(&environment, other_body);
    let recorded = environment.recorded();
    assert_eq!(recorded.claims[0].digest, recorded.claims[1].digest);
    assert_ne!(recorded.claims[0].attempt_id, recorded.claims[1].attempt_id);
    assert_ne!(recorded.claims[0].digest, recorded.claims[2].digest);
}

#[test]
fn a_truncated_plain_body_is_an_error() {
    let complete = "{\"choices\":[]}";
    let mut cut = AnswerScript::new(vec![Step::Raw(complete.as_bytes()[..6].to_vec().into())]);
    cut.framing = millford_proxy::request::message::Framing::Length(complete.len() as u64);
    let mut unframed = AnswerScript::new(vec![Step::Raw(complete.into())]);
    unframed.framing = millford_proxy::request::message::Framing::UntilClose;
    for script in [cut, unframed] {
        let environment = Fixture::not_repeatable().environment();
        environment.set_default_script(Script::Answer(script));
        let response = serve(&environment, keyed_request(false));
        assert_eq!(response.status(), 502);
        assert_eq!(response.error().code, ResultCode::AnswerTruncated);
        assert_eq!(response.error().run, MAY_HAVE_RUN);
        assert!(resolved_outcomes(&environment).is_empty());
    }
}

#[test]
fn a_deadline_after_the_send_ends_the_request_at_once_with_the_right_run_state() {
    for (answer, run) in [
        (WithdrawAnswer::Withdrawn, NOT_RUN),
        (WithdrawAnswer::Running, MAY_HAVE_RUN),
    ] {
        let environment = Fixture {
            deadline_ms: 700,
            ..Fixture::not_repeatable()
        }
        .environment();
        environment.set_default_script(Script::NeverAnswer);
        environment.answer_withdrawals(answer);
        let response = serve(&environment, keyed_request(false));
        assert_eq!(response.error().code, ResultCode::DeadlineAfterSend);
        assert_eq!(response.error().run, run);
        assert_eq!(response.ended_at, MonotonicTime::from_millis(700));
        assert_eq!(environment.recorded().dispatches.len(), 1);
    }
}

#[test]
fn a_request_without_a_backend_is_refused_at_once() {
    let environment = Fixture::default().with_backends(&[]).environment();
    let response = serve(&environment, request(true));
    assert_eq!(response.error().code, ResultCode::NoBackend);
    assert_eq!(response.error().run, NOT_RUN);
    assert_eq!(response.ended_at, MonotonicTime::ZERO);
    assert_eq!(response.error().retry_after_ms, Some(1_000));
}

#[test]
fn a_refused_admission_sends_nothing() {
    let environment = Fixture::default().environment();
    environment.answer_quota(AdmissionReply::Refused {
        code: ResultCode::QuotaExceeded,
        retry_after_ms: 130,
    });
    let response = serve(&environment, request(true));
    assert_eq!(response.status(), 429);
    assert_eq!(response.error().retry_after_ms, Some(130));
    assert_eq!(response.error().run, NOT_RUN);
    assert!(environment.recorded().dispatches.is_empty());
    assert!(environment.recorded().quota_releases.is_empty());
}

#[test]
fn the_quota_request_times_out_at_the_deadline() {
    let environment = Fixture::default().environment();
    serve(&environment, request(true));
    let timeout = environment.recorded().quota_requests[0].timeout;
    assert_eq!(timeout, Duration::from_secs(10));
}

#[test]
fn a_caller_that_disconnects_early_has_its_attempt_withdrawn() {
    let environment = Fixture::not_repeatable().environment();
    environment.set_default_script(Script::NeverAnswer);
    environment.answer_withdrawals(WithdrawAnswer::Withdrawn);
    let response = serve_disconnecting(&environment, keyed_request(true), 300);
    assert!(response.head.is_none());
    assert!(!environment.recorded().withdrawals.is_empty());
    assert_eq!(resolved_outcomes(&environment), [RunOutcome::RunNotRun]);
    let releases = environment.recorded().quota_releases.clone();
    assert!(releases[0].stream && releases[0].unused);
}

#[test]
fn a_caller_that_disconnects_from_a_stream_keeps_its_claim_unresolved() {
    let environment = Fixture::not_repeatable().environment();
    environment.set_default_script(stream(chunks(0..100), Step::Done));
    let response = serve_disconnecting(&environment, keyed_request(true), 300);
    assert!(!response.complete);
    assert_eq!(environment.recorded().withdrawals.len(), 1);
    assert!(resolved_outcomes(&environment).is_empty());
    let releases = environment.recorded().quota_releases.clone();
    assert!(releases[0].stream && !releases[0].unused);
}

fn resolved_outcomes(environment: &support::environment::ScriptedEnvironment) -> Vec<RunOutcome> {
    let recorded = environment.recorded();
    recorded
        .claim_resolutions
        .iter()
        .map(ResolveClaim::outcome)
        .collect()
}

#[test]
fn a_run_counts_as_completed_if_the_caller_disconnects_at_the_end_marker() {
    let environment = Fixture::not_repeatable().environment();
    let mut steps = chunks(0..2);
    steps.push(Step::Wait(Duration::from_millis(500)));
    environment.set_default_script(stream(steps, Step::Done));
    // The end marker comes 540 ms after the start, at the moment when the caller disconnects.
    let response = serve_disconnecting(&environment, keyed_request(true), 540);
    assert_eq!(response.sequences(), [0, 1]);
    assert!(!response.is_done() && !response.complete);
    assert_eq!(resolved_outcomes(&environment), [RunOutcome::RunCompleted]);
}
