//! Tests of hedges, the retry budget, admission, draining backends and stopping.

mod support;

use std::collections::BTreeSet;

use futures::future::{join, join_all};
use millford_api::config::Resume;
use millford_api::state::BackendState;
use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_proxy::request::completion::serve_completion;
use millford_proxy::request::environment::RequestEnvironment as _;
use millford_routing::QueueKey;
use quickcheck::quickcheck;
use support::environment::ScriptedEnvironment;
use support::fixture::{
    Fixture, SECOND_KEY, SECOND_TENANT, TENANT, request, serve, serve_disconnecting,
};
use support::script::{Script, Step, chunks, complete_stream, status, stream};
use support::sink::RecordingSink;

fn hedging() -> Fixture {
    Fixture {
        hedge_ms: Some(200),
        ..Fixture::default()
    }
}

/// Serves a request whose first attempt gets no answer and whose later attempts get a complete
/// stream.
fn first_never_answers(environment: &ScriptedEnvironment) -> support::sink::CallerResponse {
    environment.set_default_script(Script::NeverAnswer);
    let mut sink = RecordingSink::new(environment.clock.clone());
    let switch = async {
        environment.sleep(Duration::from_millis(100)).await;
        environment.set_default_script(complete_stream(0, 3));
    };
    let serving = serve_completion(environment, request(true), &mut sink);
    environment.clock.run(join(serving, switch));
    sink.response()
}

#[test]
fn a_hedge_answers_for_an_unresponsive_backend_and_the_first_attempt_is_withdrawn() {
    let environment = hedging().environment();
    environment.fill_retry_budget(1);
    let response = first_never_answers(&environment);
    assert!(response.is_done());
    let sent = environment.sent();
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[1].at, MonotonicTime::from_millis(200));
    assert_ne!(sent[0].request.backend_id, sent[1].request.backend_id);
    let withdrawals = environment.recorded().withdrawals.clone();
    assert_eq!(withdrawals.len(), 1);
    assert_eq!(withdrawals[0].attempt, sent[0].request.attempt);
}

#[test]
fn no_hedge_without_retry_budget_or_on_a_route_that_is_not_repeatable() {
    let not_repeatable = Fixture {
        repeatable: false,
        ..hedging()
    };
    for (fixture, second_sends) in [(hedging(), 0), (not_repeatable, 3)] {
        let environment = fixture.environment();
        environment.fill_retry_budget(second_sends);
        let response = first_never_answers(&environment);
        assert_eq!(response.error().code, ResultCode::DeadlineAfterSend);
        assert_eq!(environment.sent().len(), 1);
    }
}

#[test]
fn a_request_whose_caller_has_disconnected_is_never_sent() {
    let environment = Fixture::default().environment();
    serve_disconnecting(&environment, request(true), 0);
    assert!(environment.recorded().dispatches.is_empty());
    assert!(environment.recorded().quota_releases[0].unused);
}

quickcheck! {
    /// Whatever the backends do, at most a fifth of all sends are retries, hedges or resumes.
    fn second_sends_stay_under_a_fifth(faults: Vec<u8>, seed: u64) -> bool {
        let state = hedging().state();
        let environment = ScriptedEnvironment::new(state, seed);
        let (mut firsts, mut seconds) = (0, 0);
        for fault in faults {
            environment.set_default_script(match fault % 6 {
                0 => Script::LoseBeforeHead,
                1 => status(503, true),
                2 => Script::NeverAnswer,
                3 => stream(chunks(0..2), Step::Fail(millford_proxy::request::message::AnswerError::Disconnected)),
                4 => Script::RefuseConnection,
                _ => complete_stream(0, 3),
            });
            let before = environment.sent().len();
            serve(&environment, request(true));
            let sends = environment.sent().len() - before;
            firsts += sends.min(1);
            seconds += sends.saturating_sub(1);
            // Two successful probes bring an ejected backend back into use before the next request.
            for id in ["b1", "b2", "b3"] {
                let now = environment.now();
                environment.state().health.probe_succeeded(id, now);
                environment.state().health.probe_succeeded(id, now);
            }
        }
        let counted = environment.state().metrics.first_sends.get();
        counted == firsts as u64 && seconds * 5 <= firsts + seconds
    }

    /// A draining, gone or ejected backend gets no new work.
    fn no_new_work_for_draining_backends(states: Vec<u8>, seed: u64) -> bool {
        let ids: Vec<String> = (0..states.len()).map(|index| format!("b{index}")).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut fixture = Fixture::default().with_backends(&names);
        let mut closed = BTreeSet::new();
        for (id, state) in ids.iter().zip(&states) {
            match state % 4 {
                1 => fixture = fixture.with_state(id, BackendState::BackendDraining),
                2 => fixture = fixture.with_state(id, BackendState::BackendGone),
                _ => {}
            }
            if state % 4 != 0 {
                closed.insert(id.clone());
            }
        }
        let environment = ScriptedEnvironment::new(fixture.state(), seed);
        for (id, state) in ids.iter().zip(&states) {
            if state % 4 == 3 {
                environment.state().eject(id, millford_routing::EjectionReason::Unresponsive);
            }
        }
        for _ in 0..5 {
            serve(&environment, request(true));
        }
        let recorded = environment.recorded();
        let mut ids = recorded.dispatches.iter().map(|dispatch| &dispatch.request.backend_id);
        ids.all(|id| !closed.contains(id))
    }
}

/// Queues so many prefill tokens on every backend that the first token would come too late.
fn saturate_backends(environment: &ScriptedEnvironment) -> Vec<millford_routing::InFlightGuard> {
    let state = environment.state();
    let queue_prefill = |id: &str| {
        let key = millford_routing::ReplicaKey {
            pool: "models".to_owned(),
            backend_id: id.to_owned(),
            model: "saga".to_owned(),
            version: "2".to_owned(),
        };
        state.load_table.start(key, 10_000_000)
    };
    ["b1", "b2", "b3"].map(queue_prefill).into()
}

fn queue_of_models(
    environment: &ScriptedEnvironment,
) -> std::sync::Arc<millford_routing::FairQueue> {
    environment.state().queues.queue(&QueueKey {
        pool: "models".to_owned(),
        model: "saga".to_owned(),
    })
}

#[test]
fn a_tenant_over_its_share_is_refused_at_once() {
    let environment = Fixture::default().environment();
    let _load = saturate_backends(&environment);
    let queue = queue_of_models(&environment);
    queue.begin(TENANT, 20_000_000);
    queue.begin(SECOND_TENANT, 10_000_000);
    let response = serve(&environment, request(true));
    assert_eq!(response.error().code, ResultCode::Overloaded);
    assert_eq!(response.error().run, "not_run");
    assert_eq!(response.ended_at, MonotonicTime::ZERO);
    assert!(response.error().retry_after_ms >= Some(250));
    assert!(environment.recorded().quota_releases[0].unused);
}

#[test]
fn a_tenant_under_its_share_waits_and_is_served() {
    let environment = Fixture::default().environment();
    let load = saturate_backends(&environment);
    let queue = queue_of_models(&environment);
    queue.begin(TENANT, 30_000_000);
    let mut small = request(true);
    small.headers.authorization = Some(format!("Bearer {SECOND_KEY}"));
    let mut sink = RecordingSink::new(environment.clock.clone());
    let release_load = async {
        environment.sleep(Duration::from_millis(400)).await;
        drop(load);
    };
    let serving = serve_completion(&environment, small, &mut sink);
    environment.clock.run(join(serving, release_load));
    assert!(sink.response().is_done());
    assert!(environment.sent()[0].at >= MonotonicTime::from_millis(400));
}

#[test]
fn the_wait_for_admission_is_bounded() {
    let environment = Fixture::default().environment();
    let _load = saturate_backends(&environment);
    let response = serve(&environment, request(true));
    assert_eq!(response.error().code, ResultCode::Overloaded);
    assert!(response.ended_at <= MonotonicTime::from_millis(1_020));
    assert!(!queue_of_models(&environment).has_waiters());
}

#[test]
fn finished_requests_release_their_load_and_stream_slots() {
    let environment = Fixture::default().environment();
    environment.fill_retry_budget(5);
    let serving = (0..40).map(|index| {
        let environment = environment.clone();
        async move {
            let mut sink = RecordingSink::new(environment.clock.clone());
            environment.sleep(Duration::from_millis(index * 3)).await;
            serve_completion(&environment, request(index % 2 == 0), &mut sink).await;
        }
    });
    environment.clock.run(join_all(serving));
    let state = environment.state();
    assert_eq!(state.metrics.open_requests.get(), 0);
    assert_eq!(state.metrics.open_streams.get(), 0);
    for id in ["b1", "b2", "b3"] {
        assert!(state.load_table.backend_load(id, 8, &state.costs) == 0.0);
    }
    let recorded = environment.recorded();
    let acquired = recorded
        .quota_requests
        .iter()
        .filter(|request| request.stream)
        .count();
    let released = recorded
        .quota_releases
        .iter()
        .filter(|release| release.stream)
        .count();
    assert_eq!((acquired, released), (20, 20));
}

#[test]
fn a_stopping_proxy_ends_its_streams_with_an_error() {
    let fixture = Fixture {
        resume: Resume::Never,
        ..Fixture::default()
    };
    let environment = fixture.environment();
    environment.set_default_script(stream(chunks(0..500), Step::Done));
    let mut sink = RecordingSink::new(environment.clock.clone());
    let stop = async {
        environment.sleep(Duration::from_millis(300)).await;
        environment.state().set_stopping();
    };
    let serving = serve_completion(&environment, request(true), &mut sink);
    environment.clock.run(join(serving, stop));
    let response = sink.response();
    assert_eq!(response.error().code, ResultCode::ProxyDraining);
    assert_eq!(response.error().run, "may_have_run");
    assert!(response.ended_at < MonotonicTime::from_millis(500));
}
