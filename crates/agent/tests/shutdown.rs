//! Order of the shutdown of an agent and its proxy.

mod support;

use millford_agent::AgentInput;
use millford_agent::timing::DRAIN_NOTICE_TIMEOUT;
use millford_api::local::{ProxyDraining, local_frame};
use millford_core::Duration;
use support::{Fleet, backend, head};

const ADDRESSES: [&str; 3] = ["c1", "c2", "c3"];
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);

fn fleet() -> Fleet {
    Fleet::started_with_drain_timeout(&ADDRESSES, DRAIN_TIMEOUT)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short time")
}

/// Guards against an agent that ends while its proxy still serves requests, by an old configuration (issue 36).
#[test]
fn a_draining_proxy_gets_every_change_until_it_ends() {
    let mut fleet = fleet();
    fleet.handle(AgentInput::Stop);
    fleet.proxy_sends(local_frame::Body::Draining(ProxyDraining {}));
    fleet.run(5_000);
    assert!(!fleet.stopped, "the proxy has not ended");
    assert!(fleet.shared.closed.is_empty(), "the session stays open");
    fleet.publish(0, 2, &[head(2)]);
    fleet.publish(1, 2, &[backend("p", "new")]);
    fleet.run(100);
    assert_eq!(fleet.core.revision(), 2);
    assert_eq!(fleet.proxy_backend(1, "backend/p/new"), Some(0));
    fleet.handle(AgentInput::ProxyDown);
    fleet.run(10);
    assert!(fleet.stopped, "the proxy has ended");
    assert_eq!(fleet.shared.closed, ["node-1"]);
}

#[test]
fn an_agent_that_is_told_to_end_without_its_proxy_ends_soon() {
    let mut fleet = fleet();
    fleet.handle(AgentInput::Stop);
    fleet.run(millis(DRAIN_NOTICE_TIMEOUT) - 50);
    assert!(!fleet.stopped, "the proxy may still report that it drains");
    fleet.run(100);
    assert!(fleet.stopped);
    assert_eq!(fleet.shared.closed, ["node-1"]);
}

#[test]
fn a_proxy_that_never_ends_is_served_until_the_drain_timeout() {
    let mut fleet = fleet();
    fleet.proxy_sends(local_frame::Body::Draining(ProxyDraining {}));
    fleet.run(3_000);
    assert!(!fleet.stopped, "the agent was not told to end");
    fleet.handle(AgentInput::Stop);
    fleet.run(4_000);
    // A repeated signal changes nothing.
    fleet.handle(AgentInput::Stop);
    fleet.run(millis(DRAIN_TIMEOUT) - 4_050);
    assert!(!fleet.stopped);
    fleet.run(100);
    assert!(fleet.stopped);
}

#[test]
fn a_proxy_that_connects_again_reports_anew_whether_it_drains() {
    let mut fleet = fleet();
    fleet.proxy_sends(local_frame::Body::Draining(ProxyDraining {}));
    fleet.connect_proxy();
    fleet.handle(AgentInput::Stop);
    fleet.run(millis(DRAIN_NOTICE_TIMEOUT) + 50);
    assert!(fleet.stopped, "the new proxy does not drain");
}
