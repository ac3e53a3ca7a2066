//! Disabling of mechanisms: their names are checked, and a disabled mechanism has no effect.

mod support;

use std::collections::BTreeSet;

use millford_forward::{ForwardSettings, Mechanism, Mechanisms};
use millford_settings::Settings;
use support::backend::{LAST_CHUNK, Step, StubBackend, not_run, signed, stream_start};
use support::caller::{call, request};
use support::node::{Setup, TestNode};

#[test]
fn mechanism_names_are_unique_and_parse_back() {
    let names: BTreeSet<&str> = Mechanism::ALL.iter().map(|one| one.name()).collect();
    assert_eq!(names.len(), Mechanism::ALL.len());
    for mechanism in Mechanism::ALL {
        assert_eq!(Mechanism::from_name(mechanism.name()), Some(mechanism));
        let enabled = Mechanisms::all_but(mechanism.name()).unwrap();
        let in_use = Mechanism::ALL.into_iter().filter(|one| enabled.has(*one));
        assert_eq!(in_use.count(), Mechanism::ALL.len() - 1);
        assert!(!enabled.has(mechanism));
    }
    let enabled = Mechanisms::all_but("affinity, retries,").unwrap();
    assert!(!enabled.has(Mechanism::Affinity) && !enabled.has(Mechanism::Retries));
}

#[test]
fn unknown_mechanism_names_are_a_settings_fault() {
    let mut settings = ForwardSettings {
        disabled_mechanisms: "affinity,luck".to_owned(),
        ..ForwardSettings::default()
    };
    let keys = |settings: &ForwardSettings| -> Vec<&str> {
        settings.faults().iter().map(|fault| fault.key).collect()
    };
    assert!(keys(&settings).contains(&"leave_out"));
    settings.disabled_mechanisms = "affinity".to_owned();
    assert!(!keys(&settings).contains(&"leave_out"));
    settings.decision_log_per_mille = 1001;
    assert!(keys(&settings).contains(&"decision_log_per_mille"));
}

#[tokio::test]
async fn without_retries_the_first_refusal_is_final() {
    let full = StubBackend::start(vec![Step::Respond(not_run(503))]).await;
    let other = StubBackend::start(vec![Step::Respond(not_run(503))]).await;
    let setup = Setup::with(|_| {});
    let node = TestNode::start_without("retries", &setup, &[&full, &other]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 503);
    assert_eq!(full.received().len() + other.received().len(), 1);
}

#[tokio::test]
async fn without_resumption_a_broken_stream_ends_truncated() {
    let broken = vec![Step::RespondThenReset(stream_start(1..3))];
    let first = StubBackend::start(broken.clone()).await;
    let second = StubBackend::start(broken).await;
    let setup = Setup::with(|route| {
        route.stream = true;
        route.resumable = true;
        route.max_attempts = 2;
    });
    let node = TestNode::start_without("resumption", &setup, &[&first, &second]).await;
    assert!(
        !call(node.callers, &request("/jobs/", "", ""))
            .await
            .complete
    );
    assert_eq!(first.received().len() + second.received().len(), 1);
}

#[tokio::test]
async fn without_connection_reuse_each_request_opens_a_connection() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let setup = Setup::with(|_| {});
    let node = TestNode::start_without("connection_reuse", &setup, &[&backend]).await;
    for _ in 0..3 {
        call(node.callers, &request("/jobs/", "", "")).await;
    }
    assert_eq!(backend.connections(), 3);
}

#[tokio::test]
async fn streams_are_served_with_every_mechanism_disabled() {
    let text = format!("{}{LAST_CHUNK}", stream_start(1..6));
    let backend = StubBackend::start(vec![Step::Respond(text)]).await;
    let names: Vec<&str> = Mechanism::ALL.iter().map(|one| one.name()).collect();
    let setup = Setup::with(|route| route.stream = true);
    let node = TestNode::start_without(&names.join(","), &setup, &[&backend]).await;
    assert!(
        call(node.callers, &request("/jobs/", "", ""))
            .await
            .complete
    );
}
