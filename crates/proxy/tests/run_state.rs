//! At most one run for what may not be repeated, and the truth of "not run".

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
fn a_lost_request_that_may_not_be_repeated_is_sent_once() {
    let environment = Fixture::once().environment();
    environment.fill_retry_budget(3);
    environment.by_default(Script::LoseBeforeHead);
    let seen = serve(&environment, request(false));
    assert_eq!(seen.error().code, ResultCode::BackendLost);
    assert_eq!(seen.error().run, MAY_HAVE_RUN);
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
        let environment = Fixture::once().environment();
        environment.by_default(Script::LoseBeforeHead);
        environment.answer_withdrawals(answer);
        let seen = serve(&environment, request(false));
        assert_eq!(seen.error().run, run, "{answer:?}");
        assert_eq!(environment.recorded().dispatches.len(), 1);
    }
}

#[test]
fn a_withdrawal_confirmed_after_its_time_out_proves_nothing() {
    let environment = Fixture::once().environment();
    let timeout = environment.state().limits.withdraw_timeout;
    environment.by_default(Script::LoseBeforeHead);
    environment.answer_withdrawals(WithdrawAnswer::Withdrawn);
    environment.delay_withdrawals(timeout + Duration::from_millis(1));
    let seen = serve(&environment, request(false));
    assert_eq!(seen.error().run, MAY_HAVE_RUN);
}

#[test]
fn the_age_of_an_attempt_covers_its_start_and_the_way_of_the_withdrawal() {
    let environment = Fixture::once().environment();
    environment.by_default(Script::NeverAnswer);
    let seen = serve(&environment, request(false));
    assert_eq!(seen.error().code, ResultCode::DeadlineAfterSend);
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
    environment.by_default(status(503, false));
    let seen = serve(&environment, request(false));
    // A status of 503 without the protocol's word means that it ran.
    assert_eq!(seen.error().code, ResultCode::BackendError);
    assert_eq!(seen.error().run, MAY_HAVE_RUN);
}

#[test]
fn a_refused_connection_is_not_a_send() {
    let environment = Fixture::once().environment();
    environment.by_default(Script::RefuseConnection);
    let seen = serve(&environment, request(false));
    assert_eq!(seen.error().code, ResultCode::ConnectFailed);
    assert_eq!(seen.error().run, NOT_RUN);
    assert!(seen.error().retry_after_ms.is_some());
    assert_eq!(environment.recorded().dispatches.len(), 3);
    assert!(environment.recorded().withdrawals.is_empty());
    assert!(environment.recorded().quota_releases[0].unused);
}

#[test]
fn another_backend_serves_when_one_refuses_connections() {
    let environment = Fixture::once().with_backends(&["b1", "b2"]).environment();
    environment.next("b1", Script::RefuseConnection);
    environment.by_default(plain("{}"));
    // Both backends are equally good, so within ten requests the refusing one is met.
    for _ in 0..10 {
        let seen = serve(&environment, request(false));
        assert_eq!(seen.status(), 200);
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
fn a_refusal_before_work_is_not_run_and_frees_the_claim() {
    let environment = Fixture::once().environment();
    environment.by_default(status(503, true));
    let seen = serve(&environment, keyed_request(false));
    assert_eq!(seen.error().code, ResultCode::BackendRefused);
    assert_eq!(seen.error().run, NOT_RUN);
    assert_eq!(environment.recorded().dispatches.len(), 1);
    let outcomes = resolved_outcomes(&environment);
    assert_eq!(outcomes, [RunOutcome::RunNotRun]);
}

#[test]
fn a_refusal_in_a_crossed_answer_is_not_believed() {
    let environment = Fixture::once().environment();
    environment.by_default(Script::Answer(AnswerScript {
        status: 503,
        not_run: true,
        crossed: true,
        ..AnswerScript::new(Vec::new())
    }));
    let seen = serve(&environment, keyed_request(false));
    assert_eq!(seen.error().code, ResultCode::AnswerMismatch);
    assert_eq!(seen.error().run, MAY_HAVE_RUN);
    assert!(resolved_outcomes(&environment).is_empty());
}

#[test]
fn a_completed_run_is_recorded() {
    let environment = Fixture::once().environment();
    environment.by_default(plain("{\"choices\":[]}"));
    let seen = serve(&environment, keyed_request(false));
    assert_eq!(seen.status(), 200);
    assert_eq!(resolved_outcomes(&environment), [RunOutcome::RunCompleted]);
    let recorded = environment.recorded();
    assert_eq!(recorded.claims.len(), 1);
    assert_eq!(recorded.claims[0].digest.len(), 32);
}

#[test]
fn a_taken_claim_is_answered_without_a_send() {
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
        let environment = Fixture::once().environment();
        environment.answer_claims(answer);
        let seen = serve(&environment, keyed_request(false));
        assert_eq!(seen.error().code, code);
        assert_eq!(seen.error().run, run);
        assert!(environment.recorded().dispatches.is_empty());
        assert!(environment.recorded().quota_releases[0].unused);
    }
}

#[test]
fn a_claim_that_came_too_late_is_resolved_as_not_run() {
    let environment = Fixture::once().environment();
    environment.answer_claims(ClaimAnswer::Unavailable);
    let seen = serve(&environment, keyed_request(false));
    assert!(seen.error().retry_after_ms.is_some());
    assert_eq!(resolved_outcomes(&environment), [RunOutcome::RunNotRun]);
}

#[test]
fn a_key_on_a_repeatable_route_needs_no_claim() {
    let environment = Fixture::default().environment();
    let seen = serve(&environment, keyed_request(true));
    assert!(seen.is_done());
    assert!(environment.recorded().claims.is_empty());
}

#[test]
fn the_digest_differs_between_bodies_and_adapters() {
    let environment = Fixture::once().environment();
    let mut other_body = keyed_request(false);
    other_body.body = String::from_utf8(other_body.body.to_vec())
        .expect("text")
        .replace("one", "two")
        .into();
    let mut other_adapter = keyed_request(false);
    other_adapter.headers.adapter = Some("captions".to_owned());
    environment.by_default(plain("{}"));
    serve(&environment, keyed_request(false));
    serve(&environment, keyed_request(false));
    serve(&environment, other_body);
    let recorded = environment.recorded();
    assert_eq!(recorded.claims[0].digest, recorded.claims[1].digest);
    assert_ne!(recorded.claims[0].attempt_id, recorded.claims[1].attempt_id);
    assert_ne!(recorded.claims[0].digest, recorded.claims[2].digest);
}

#[test]
fn a_truncated_plain_body_is_no_success() {
    let complete = "{\"choices\":[]}";
    let mut cut = AnswerScript::new(vec![Step::Raw(complete.as_bytes()[..6].to_vec().into())]);
    cut.framing = millford_proxy::request::message::Framing::Length(complete.len() as u64);
    let mut unframed = AnswerScript::new(vec![Step::Raw(complete.into())]);
    unframed.framing = millford_proxy::request::message::Framing::UntilClose;
    for script in [cut, unframed] {
        let environment = Fixture::once().environment();
        environment.by_default(Script::Answer(script));
        let seen = serve(&environment, keyed_request(false));
        assert_eq!(seen.status(), 502);
        assert_eq!(seen.error().code, ResultCode::AnswerTruncated);
        assert_eq!(seen.error().run, MAY_HAVE_RUN);
        assert!(resolved_outcomes(&environment).is_empty());
    }
}

#[test]
fn a_deadline_after_the_send_ends_at_once_and_truthfully() {
    for (answer, run) in [
        (WithdrawAnswer::Withdrawn, NOT_RUN),
        (WithdrawAnswer::Running, MAY_HAVE_RUN),
    ] {
        let environment = Fixture {
            deadline_ms: 700,
            ..Fixture::once()
        }
        .environment();
        environment.by_default(Script::NeverAnswer);
        environment.answer_withdrawals(answer);
        let seen = serve(&environment, keyed_request(false));
        assert_eq!(seen.error().code, ResultCode::DeadlineAfterSend);
        assert_eq!(seen.error().run, run);
        assert_eq!(seen.ended_at, MonotonicTime::from_millis(700));
        assert_eq!(environment.recorded().dispatches.len(), 1);
    }
}

#[test]
fn a_given_up_request_is_answered_at_once() {
    let environment = Fixture::default().with_backends(&[]).environment();
    let seen = serve(&environment, request(true));
    assert_eq!(seen.error().code, ResultCode::NoBackend);
    assert_eq!(seen.error().run, NOT_RUN);
    assert_eq!(seen.ended_at, MonotonicTime::ZERO);
    assert_eq!(seen.error().retry_after_ms, Some(1_000));
}

#[test]
fn a_refused_admission_sends_nothing() {
    let environment = Fixture::default().environment();
    environment.answer_quota(AdmissionReply::Refused {
        code: ResultCode::QuotaExceeded,
        retry_after_ms: 130,
    });
    let seen = serve(&environment, request(true));
    assert_eq!(seen.status(), 429);
    assert_eq!(seen.error().retry_after_ms, Some(130));
    assert_eq!(seen.error().run, NOT_RUN);
    assert!(environment.recorded().dispatches.is_empty());
    assert!(environment.recorded().quota_releases.is_empty());
}

#[test]
fn the_admission_may_be_waited_for_until_the_deadline() {
    let environment = Fixture::default().environment();
    serve(&environment, request(true));
    let timeout = environment.recorded().quota_requests[0].timeout;
    assert_eq!(timeout, Duration::from_secs(10));
}

#[test]
fn a_caller_that_disconnects_early_has_its_attempt_withdrawn() {
    let environment = Fixture::once().environment();
    environment.by_default(Script::NeverAnswer);
    environment.answer_withdrawals(WithdrawAnswer::Withdrawn);
    let seen = serve_disconnecting(&environment, keyed_request(true), 300);
    assert!(seen.head.is_none());
    assert!(!environment.recorded().withdrawals.is_empty());
    assert_eq!(resolved_outcomes(&environment), [RunOutcome::RunNotRun]);
    let releases = environment.recorded().quota_releases.clone();
    assert!(releases[0].stream && releases[0].unused);
}

#[test]
fn a_caller_that_disconnects_from_a_stream_keeps_its_claim_unresolved() {
    let environment = Fixture::once().environment();
    environment.by_default(stream(chunks(0..100), Step::Done));
    let seen = serve_disconnecting(&environment, keyed_request(true), 300);
    assert!(!seen.complete);
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
fn a_caller_that_disconnects_at_the_very_end_has_a_completed_run() {
    let environment = Fixture::once().environment();
    let mut steps = chunks(0..2);
    steps.push(Step::Wait(Duration::from_millis(500)));
    environment.by_default(stream(steps, Step::Done));
    // The end marker comes 540 ms after the start, when the caller is just gone.
    let seen = serve_disconnecting(&environment, keyed_request(true), 540);
    assert_eq!(seen.sequences(), [0, 1]);
    assert!(!seen.is_done() && !seen.complete);
    assert_eq!(resolved_outcomes(&environment), [RunOutcome::RunCompleted]);
}
