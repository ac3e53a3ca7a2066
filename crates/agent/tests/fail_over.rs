//! Failover between control nodes, and the state that the proxy keeps in the meantime.

mod support;

use millford_agent::{AgentInput, RegistryEntry, RegistryView};
use millford_api::internal::{FeedMessage, FeedStale, StateSnapshot, feed_message, frame};
use millford_api::local::local_frame;
use millford_api::state::{BackendState, ControlMember};
use millford_core::Duration;
use support::{FakeControlNode, Fleet, backend, head};

const ADDRESSES: [&str; 3] = ["c1", "c2", "c3"];

#[test]
fn the_agent_fails_over_from_an_unresponsive_node_and_the_next_one_sends_only_changes() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let first = fleet.connected_node();
    fleet.take_proxy_frames();
    fleet.controls[first].unresponsive = true;
    let unresponsive_at = fleet.now;
    fleet.publish(1, 2, &[backend("p", "new")]);
    fleet.run(1100);
    assert_ne!(fleet.connected_node(), first);
    let failed_over_at = fleet.connects[1].at;
    let failed_over_after = failed_over_at.since(unresponsive_at);
    assert!(
        failed_over_after <= Duration::from_millis(1010),
        "{failed_over_after:?}"
    );
    assert!(fleet.core.is_connected(), "{:?}", fleet.core.counters());
    let second = fleet.connected_node();
    let subscriptions = &fleet.controls[second].subscriptions;
    assert!(subscriptions.contains(&(1, 1)), "{subscriptions:?}");
    let sent = fleet.take_proxy_frames();
    let snapshots = sent
        .iter()
        .filter(|body| matches!(body, local_frame::Body::Snapshot(_)));
    assert_eq!(snapshots.count(), 0, "the proxy needs no snapshot");
    assert_eq!(fleet.proxy_backend(1, "backend/p/new"), Some(0));
}

#[test]
fn the_agent_fails_over_from_a_node_without_quorum_immediately() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let first = fleet.connected_node();
    fleet.controls[first].has_quorum = false;
    fleet.run(300);
    assert_ne!(fleet.connected_node(), first);
    assert!(fleet.core.is_connected(), "{:?}", fleet.core.counters());
}

#[test]
fn a_shard_without_quorum_everywhere_causes_one_failover_in_four_seconds() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let links_before = fleet.core.counters().links_up;
    for _ in 0..40 {
        let index = fleet.connected_node();
        let stale = FeedMessage {
            shard: 2,
            kind: Some(feed_message::Kind::Stale(FeedStale {})),
        };
        fleet.control_sends(index, vec![frame::Body::Feed(stale)]);
        fleet.run(100);
    }
    let links = fleet.core.counters().links_up - links_before;
    assert_eq!(links, 1, "one failover in four seconds");
}

#[test]
fn failing_endpoints_are_retried_in_passes_with_bounded_backoff() {
    let mut fleet = Fleet::new(&["x1", "x2", "x3"]);
    fleet.controls.clear();
    fleet.run(10_000);
    let times: Vec<u64> = fleet
        .connects
        .iter()
        .map(|connect| connect.at.as_millis())
        .collect();
    assert!(
        times.len() >= 3 * 9,
        "too few connection attempts: {}",
        times.len()
    );
    assert!(
        times.len() <= 3 * 20,
        "too many connection attempts: {}",
        times.len()
    );
    let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(1100), "longest backoff {longest:?} ms");
    for pass in fleet.connects.chunks_exact(3) {
        let mut addresses: Vec<&String> = pass.iter().map(|connect| &connect.address).collect();
        addresses.sort();
        addresses.dedup();
        assert_eq!(addresses.len(), 3, "each endpoint once a pass");
    }
}

#[test]
fn the_agent_connects_quickly_to_control_nodes_that_start_after_it() {
    let starts = (50..750).step_by(50);
    for (start_delay_ms, unreachable) in starts.flat_map(|delay| [(delay, false), (delay, true)]) {
        let mut fleet = Fleet::new(&ADDRESSES);
        fleet.unreachable = unreachable;
        let controls = std::mem::take(&mut fleet.controls);
        fleet.run(start_delay_ms);
        fleet.controls = controls;
        // Allows for one backoff between passes and, if unreachable, one connection timeout.
        fleet.run(if unreachable { 250 } else { 150 });
        let case = format!("up after {start_delay_ms} ms, unreachable {unreachable}");
        assert!(fleet.core.is_connected(), "{case}");
    }
}

#[test]
fn reported_members_are_used_after_every_seed_was_replaced() {
    let mut fleet = Fleet::started(&["c1"]);
    fleet.controls[0].members = vec![ControlMember {
        node_id: 9,
        internal_address: "moved".to_owned(),
        ..ControlMember::default()
    }];
    fleet.run(300);
    assert_eq!(fleet.saved_members, 1);
    let mut moved = FakeControlNode::new("moved");
    moved.apply(0, 1, vec![head(1)]);
    moved.apply(1, 1, vec![backend("p", "a"), backend("p", "b")]);
    moved.apply(2, 1, vec![backend("q", "c")]);
    fleet.controls.push(moved);
    fleet.controls[0].unresponsive = true;
    fleet.run(3_000);
    assert_eq!(fleet.connected_node(), 1);
    assert!(fleet.core.is_connected(), "{:?}", fleet.core.counters());
}

#[test]
fn a_snapshot_older_than_the_agents_state_is_refused() {
    let mut fleet = Fleet::started(&ADDRESSES);
    fleet.publish(0, 2, &[head(2)]);
    fleet.run(10);
    let index = fleet.connected_node();
    let old = StateSnapshot {
        shard: 0,
        term: 1,
        offset: 1,
        items: vec![head(1)],
        ..Default::default()
    };
    let message = FeedMessage {
        shard: 0,
        kind: Some(feed_message::Kind::Snapshot(old)),
    };
    fleet.take_proxy_frames();
    fleet.control_sends(index, vec![frame::Body::Feed(message)]);
    fleet.run(50);
    assert_eq!(fleet.core.revision(), 2);
    assert_eq!(fleet.core.counters().feed_stale, 1);
    let sent = fleet.take_proxy_frames();
    assert!(
        !sent
            .iter()
            .any(|body| matches!(body, local_frame::Body::Snapshot(_)))
    );
}

#[test]
fn a_restarted_agent_fails_over_from_a_node_behind_the_revision_its_proxy_applied() {
    let mut fleet = Fleet::started(&ADDRESSES);
    fleet.publish(0, 2, &[head(2)]);
    fleet.run(10);
    // All nodes but one are reset to the first revision, like nodes that were partitioned before
    // the second.
    let ahead = 2;
    for (index, address) in ADDRESSES.iter().enumerate().take(2) {
        let mut behind = FakeControlNode::new(address);
        behind.apply(0, 1, vec![head(1)]);
        behind.apply(1, 1, Vec::new());
        behind.apply(2, 1, Vec::new());
        fleet.controls[index] = behind;
    }
    fleet.restart_agent(&ADDRESSES);
    assert!(!fleet.core.complete(), "{:?}", fleet.core.counters());
    fleet.connect_proxy();
    let applied = millford_api::local::ProxyApplied { revision: 2 };
    fleet.proxy_sends(local_frame::Body::Applied(applied));
    fleet.run(3_000);
    assert_eq!(fleet.connected_node(), ahead);
    assert_eq!(fleet.core.revision(), 2);
    assert!(fleet.core.complete(), "{:?}", fleet.core.counters());
}

#[test]
fn the_agent_is_complete_only_when_every_shard_was_confirmed_since_the_start() {
    let mut fleet = Fleet::new(&["c1"]);
    fleet.controls[0].publishers.remove(&2);
    let empty = millford_feed::FeedPublisher::new(millford_core::ShardId(2));
    fleet.controls[0].publishers.insert(2, empty);
    // Shard 2 has no items and no position; its empty state still has to be confirmed.
    fleet.run(500);
    assert!(fleet.core.complete(), "{:?}", fleet.core.counters());
    let mut fleet = Fleet::new(&["c1"]);
    fleet.controls[0].unresponsive = true;
    fleet.run(500);
    assert!(!fleet.core.complete(), "{:?}", fleet.core.counters());
}

#[test]
fn a_restarted_proxy_gets_a_snapshot_of_every_shard() {
    let mut fleet = Fleet::started(&ADDRESSES);
    fleet.publish(1, 2, &[backend("p", "new")]);
    fleet.run(10);
    fleet.proxy.clear();
    fleet.handle(AgentInput::ProxyDown);
    fleet.take_proxy_frames();
    fleet.connect_proxy();
    let sent = fleet.take_proxy_frames();
    let snapshots = sent
        .iter()
        .filter(|body| matches!(body, local_frame::Body::Snapshot(_)));
    assert_eq!(snapshots.count(), 3);
    assert_eq!(fleet.proxy_backend(1, "backend/p/new"), Some(0));
}

fn entry(id: &str, state: BackendState) -> RegistryEntry {
    RegistryEntry {
        id: id.to_owned(),
        state,
    }
}

#[test]
fn while_disconnected_the_registry_retires_backends_but_never_adds_any() {
    let mut fleet = Fleet::started(&ADDRESSES);
    for control in &mut fleet.controls {
        control.unresponsive = true;
    }
    fleet.run(2_500);
    assert!(!fleet.core.is_connected(), "{:?}", fleet.core.counters());
    assert!(fleet.registry_reads >= 2, "{} reads", fleet.registry_reads);
    let entries = vec![
        entry("a", BackendState::BackendDraining),
        entry("stranger", BackendState::BackendActive),
    ];
    fleet.handle(AgentInput::Registry(RegistryView { entries }));
    let draining = BackendState::BackendDraining as i32;
    let gone = BackendState::BackendGone as i32;
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    assert_eq!(fleet.proxy_backend(1, "backend/p/b"), Some(gone));
    assert_eq!(fleet.proxy_backend(1, "backend/p/stranger"), None);
    // The list contains no backend of pool q, so it more likely comes from a registry that has just
    // started.
    assert_eq!(fleet.proxy_backend(2, "backend/q/c"), Some(0));
    // A proxy that connects in the meantime receives the merged state.
    fleet.proxy.clear();
    fleet.connect_proxy();
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    // After the agent has reconnected, the feed's state applies once the control plane has had time
    // to read the registry itself.
    for control in &mut fleet.controls {
        control.unresponsive = false;
    }
    fleet.run(1_500);
    assert!(fleet.core.is_connected(), "{:?}", fleet.core.counters());
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    fleet.run(3_000);
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(0));
}

#[test]
fn the_registry_is_read_while_one_shard_has_no_leader() {
    let mut fleet = Fleet::started(&ADDRESSES);
    fleet.run(3_000);
    assert_eq!(fleet.registry_reads, 0);
    for control in &mut fleet.controls {
        control.stale_shards.insert(1);
    }
    let index = fleet.connected_node();
    fleet.control_sends(index, vec![FakeControlNode::stale(1)]);
    fleet.run(2_000);
    assert!(fleet.core.is_connected(), "{:?}", fleet.core.counters());
    assert!(fleet.registry_reads >= 1, "{} reads", fleet.registry_reads);
    let entries = vec![entry("a", BackendState::BackendDraining)];
    fleet.handle(AgentInput::Registry(RegistryView { entries }));
    let draining = BackendState::BackendDraining as i32;
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    for control in &mut fleet.controls {
        control.stale_shards.clear();
    }
    fleet.run(1_500);
    // The new leader has not had time to read the registry yet.
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    fleet.run(4_000);
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(0));
}

#[test]
fn the_registry_is_not_read_while_the_feeds_contain_no_backend() {
    let mut fleet = Fleet::new(&ADDRESSES);
    for control in &mut fleet.controls {
        control.unresponsive = true;
    }
    fleet.run(10_000);
    assert_eq!(fleet.registry_reads, 0);
}

#[test]
fn failed_registry_reads_are_repeated_at_growing_intervals() {
    let mut fleet = Fleet::started(&ADDRESSES);
    for control in &mut fleet.controls {
        control.unresponsive = true;
    }
    let mut refused = 0;
    for _ in 0..40 {
        fleet.run(500);
        while refused < fleet.registry_reads {
            refused += 1;
            fleet.handle(AgentInput::RegistryFailed);
        }
    }
    // In 20 seconds: intervals of 1, 2, 4, 8 and more seconds, each shortened by up to half by
    // jitter.
    assert!((3..=9).contains(&refused), "{refused} reads");
    // The registry answers again, so the intervals become shorter.
    let before = fleet.registry_reads;
    for _ in 0..60 {
        fleet.run(1_000);
        if fleet.registry_reads > before + 1 {
            break;
        }
        let entries = vec![entry("a", BackendState::BackendActive)];
        fleet.handle(AgentInput::Registry(RegistryView { entries }));
    }
    assert!(
        fleet.registry_reads > before + 1,
        "{} reads",
        fleet.registry_reads
    );
}

/// Replaces every control node by one at another address, which the agent does not learn of from them.
fn replace_every_control_node(fleet: &mut Fleet, successors: &[&str]) {
    let nodes = successors
        .iter()
        .map(|address| FakeControlNode::new(address));
    fleet.controls = nodes.collect();
    if let Some(link) = fleet.link.take() {
        fleet.handle(AgentInput::LinkDown { link: link.id });
    }
}

/// Guards against an agent that was out of touch while all control nodes were replaced and never finds their
/// successors, so that its proxy decides by an old configuration for ever (review/3).
#[test]
fn an_agent_whose_control_nodes_were_all_replaced_reads_the_seeds_again() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let successors = ["n1", "n2", "n3"];
    replace_every_control_node(&mut fleet, &successors);
    fleet.run(3_000);
    assert!(!fleet.core.is_connected());
    assert!(
        fleet.seed_reads > 0,
        "a pass over all known nodes has failed"
    );
    let seeds = successors.map(str::to_owned).to_vec();
    fleet.handle(AgentInput::Seeds(seeds));
    fleet.run(300);
    assert!(fleet.core.is_connected());
}

#[test]
fn addresses_of_the_start_stay_known_after_the_seeds_were_read_again() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let nodes = std::mem::take(&mut fleet.controls);
    if let Some(link) = fleet.link.take() {
        fleet.handle(AgentInput::LinkDown { link: link.id });
    }
    fleet.restart_agent(&ADDRESSES);
    fleet.handle(AgentInput::Seeds(vec!["gone".to_owned()]));
    fleet.run(3_000);
    assert!(!fleet.core.is_connected());
    fleet.controls = nodes;
    fleet.run(3_000);
    assert!(fleet.core.is_connected());
}

#[test]
fn seeds_are_not_read_while_a_control_node_answers_and_do_not_disturb_the_link() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let links = fleet.core.counters().links_up;
    fleet.handle(AgentInput::Seeds(vec!["n1".to_owned()]));
    fleet.handle(AgentInput::Seeds(Vec::new()));
    fleet.run(3_000);
    assert_eq!(fleet.seed_reads, 0);
    assert_eq!(fleet.core.counters().links_up, links);
    assert!(fleet.core.is_connected());
}

#[test]
fn an_expired_session_is_reopened_and_a_shutdown_closes_it() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let epoch = fleet.core.session_epoch();
    fleet.shared.sessions.clear();
    fleet.run(400);
    let reopened = fleet.core.session_epoch();
    assert!(reopened > epoch, "{reopened} after {epoch}");
    fleet.handle(AgentInput::Stop);
    fleet.run(10);
    assert!(fleet.stopped);
    assert_eq!(fleet.shared.closed, ["node-1"]);
}

#[test]
fn a_shutdown_without_any_control_node_ends_within_its_timeout() {
    let mut fleet = Fleet::started(&ADDRESSES);
    for control in &mut fleet.controls {
        control.unresponsive = true;
    }
    fleet.handle(AgentInput::Stop);
    fleet.run(1_010);
    assert!(fleet.stopped);
}

#[test]
fn the_inactivity_timeout_grows_after_a_pass_of_unresponsive_nodes() {
    let mut fleet = Fleet::new(&ADDRESSES);
    for control in &mut fleet.controls {
        control.unresponsive = true;
    }
    fleet.run(20_000);
    let times: Vec<u64> = fleet
        .connects
        .iter()
        .map(|connect| connect.at.as_millis())
        .collect();
    let first_pass = times[1] - times[0];
    assert!((750..=800).contains(&first_pass), "{first_pass}");
    let later = times[times.len() - 2] - times[times.len() - 3];
    assert!((3_000..=4_100).contains(&later), "{later}");
    // After a period of stable quorum contact, the inactivity timeout is reset to its initial
    // value.
    fleet
        .controls
        .iter_mut()
        .for_each(|control| control.unresponsive = false);
    fleet.run(5_000);
    let first = fleet.connected_node();
    fleet.controls[first].unresponsive = true;
    fleet.run(1_100);
    assert_ne!(fleet.connected_node(), first);
}
