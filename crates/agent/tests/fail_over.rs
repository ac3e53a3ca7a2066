//! Moves between control nodes, and what the proxy keeps meanwhile.

mod support;

use millford_agent::{AgentInput, RegistryEntry, RegistryView};
use millford_api::internal::{FeedMessage, FeedStale, StateSnapshot, feed_message, frame};
use millford_api::local::local_frame;
use millford_api::state::{BackendState, ControlMember};
use millford_core::Duration;
use support::{ControlStandIn, Fleet, backend, head};

const ADDRESSES: [&str; 3] = ["c1", "c2", "c3"];

#[test]
fn a_silent_node_is_left_and_the_next_one_sends_only_what_changed() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let first = fleet.at();
    fleet.take_proxy_frames();
    fleet.controls[first].silent = true;
    let silent_at = fleet.now;
    fleet.publish(1, 2, vec![backend("p", "new")]);
    fleet.run(1100);
    assert_ne!(fleet.at(), first);
    let (left_at, _) = fleet.connects[1];
    assert!(left_at.since(silent_at) <= Duration::from_millis(1010));
    assert!(fleet.core.in_touch());
    let second = fleet.at();
    assert!(fleet.controls[second].subscriptions.contains(&(1, 1)));
    let sent = fleet.take_proxy_frames();
    let whole = sent
        .iter()
        .filter(|body| matches!(body, local_frame::Body::Snapshot(_)));
    assert_eq!(whole.count(), 0, "the proxy needs no whole state");
    assert_eq!(fleet.proxy_backend(1, "backend/p/new"), Some(0));
}

#[test]
fn a_node_out_of_touch_is_left_at_once() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let first = fleet.at();
    fleet.controls[first].in_touch = false;
    fleet.run(300);
    assert_ne!(fleet.at(), first);
    assert!(fleet.core.in_touch());
}

#[test]
fn a_shard_without_quorum_everywhere_does_not_keep_the_agent_moving() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let links_before = fleet.core.counters().links_up;
    for _ in 0..40 {
        let index = fleet.at();
        let stale = FeedMessage {
            shard: 2,
            kind: Some(feed_message::Kind::Stale(FeedStale {})),
        };
        fleet.control_sends(index, vec![frame::Body::Feed(stale)]);
        fleet.run(100);
    }
    let links = fleet.core.counters().links_up - links_before;
    assert_eq!(links, 1, "one move in four seconds");
}

#[test]
fn addresses_that_fail_are_tried_in_rounds_with_bounded_delays() {
    let mut fleet = Fleet::new(&["x1", "x2", "x3"]);
    fleet.controls.clear();
    fleet.run(10_000);
    let times: Vec<u64> = fleet
        .connects
        .iter()
        .map(|(at, _)| at.as_millis())
        .collect();
    assert!(times.len() >= 3 * 9, "still trying: {}", times.len());
    assert!(times.len() <= 3 * 20, "not hammering: {}", times.len());
    let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(1100), "longest pause {longest:?} ms");
    for round in fleet.connects.chunks_exact(3) {
        let mut addresses: Vec<&String> = round.iter().map(|(_, address)| address).collect();
        addresses.sort();
        addresses.dedup();
        assert_eq!(addresses.len(), 3, "each address once a round");
    }
}

#[test]
fn control_nodes_that_start_a_little_later_are_found_at_once() {
    let starts = (50..750).step_by(50);
    for (late_ms, without_power) in starts.flat_map(|late| [(late, false), (late, true)]) {
        let mut fleet = Fleet::new(&ADDRESSES);
        fleet.without_power = without_power;
        let controls = std::mem::take(&mut fleet.controls);
        fleet.run(late_ms);
        fleet.controls = controls;
        // One connection that is given up, one pause between rounds.
        fleet.run(if without_power { 250 } else { 150 });
        let case = format!("up after {late_ms} ms, without power {without_power}");
        assert!(fleet.core.in_touch(), "{case}");
    }
}

#[test]
fn the_present_members_are_found_after_every_seed_was_replaced() {
    let mut fleet = Fleet::started(&["c1"]);
    fleet.controls[0].members = vec![ControlMember {
        node_id: 9,
        internal_address: "moved".to_owned(),
        ..ControlMember::default()
    }];
    fleet.run(300);
    assert_eq!(fleet.saved_members, 1);
    let mut moved = ControlStandIn::new("moved");
    moved.apply(0, 1, vec![head(1)]);
    moved.apply(1, 1, vec![backend("p", "a"), backend("p", "b")]);
    moved.apply(2, 1, vec![backend("q", "c")]);
    fleet.controls.push(moved);
    fleet.controls[0].silent = true;
    fleet.run(3_000);
    assert_eq!(fleet.at(), 1);
    assert!(fleet.core.in_touch());
}

#[test]
fn a_returning_node_with_old_state_is_not_believed() {
    let mut fleet = Fleet::started(&ADDRESSES);
    fleet.publish(0, 2, vec![head(2)]);
    fleet.run(10);
    let index = fleet.at();
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
fn a_restarted_agent_leaves_a_node_that_is_behind_what_its_proxy_showed() {
    let mut fleet = Fleet::started(&ADDRESSES);
    fleet.publish(0, 2, vec![head(2)]);
    fleet.run(10);
    // All but one node lose the second revision again, as nodes cut off before it would have.
    let ahead = 2;
    for (index, address) in ADDRESSES.iter().enumerate().take(2) {
        let mut behind = ControlStandIn::new(address);
        behind.apply(0, 1, vec![head(1)]);
        behind.apply(1, 1, Vec::new());
        behind.apply(2, 1, Vec::new());
        fleet.controls[index] = behind;
    }
    fleet.restart_agent(&ADDRESSES);
    assert!(!fleet.core.complete());
    fleet.link_proxy();
    let shown = millford_api::local::ProxyApplied { revision: 2 };
    fleet.proxy_sends(local_frame::Body::Applied(shown));
    fleet.run(3_000);
    assert_eq!(fleet.at(), ahead);
    assert_eq!(fleet.core.revision(), 2);
    assert!(fleet.core.complete());
}

#[test]
fn complete_only_when_every_shard_was_confirmed_since_the_start() {
    let mut fleet = Fleet::new(&["c1"]);
    fleet.controls[0].publishers.remove(&2);
    let withheld = millford_feed::FeedPublisher::new(millford_core::ShardId(2));
    fleet.controls[0].publishers.insert(2, withheld);
    // Shard 2 has nothing at all yet: its empty state still has to be confirmed.
    fleet.run(500);
    assert!(fleet.core.complete());
    let mut fleet = Fleet::new(&["c1"]);
    fleet.controls[0].silent = true;
    fleet.run(500);
    assert!(!fleet.core.complete());
}

#[test]
fn a_restarted_proxy_gets_every_shard_whole() {
    let mut fleet = Fleet::started(&ADDRESSES);
    fleet.publish(1, 2, vec![backend("p", "new")]);
    fleet.run(10);
    fleet.proxy.clear();
    fleet.give(AgentInput::ProxyDown);
    fleet.take_proxy_frames();
    fleet.link_proxy();
    let sent = fleet.take_proxy_frames();
    let whole = sent
        .iter()
        .filter(|body| matches!(body, local_frame::Body::Snapshot(_)));
    assert_eq!(whole.count(), 3);
    assert_eq!(fleet.proxy_backend(1, "backend/p/new"), Some(0));
}

fn entry(id: &str, state: BackendState) -> RegistryEntry {
    RegistryEntry {
        id: id.to_owned(),
        state,
    }
}

#[test]
fn out_of_touch_with_all_the_registry_retires_but_never_adds() {
    let mut fleet = Fleet::started(&ADDRESSES);
    for control in &mut fleet.controls {
        control.silent = true;
    }
    fleet.run(2_500);
    assert!(!fleet.core.in_touch());
    assert!(fleet.registry_reads >= 2);
    let entries = vec![
        entry("a", BackendState::BackendDraining),
        entry("stranger", BackendState::BackendActive),
    ];
    fleet.give(AgentInput::Registry(RegistryView { entries }));
    let draining = BackendState::BackendDraining as i32;
    let gone = BackendState::BackendGone as i32;
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    assert_eq!(fleet.proxy_backend(1, "backend/p/b"), Some(gone));
    assert_eq!(fleet.proxy_backend(1, "backend/p/stranger"), None);
    // The list names nobody of pool q: more likely a registry that has just started.
    assert_eq!(fleet.proxy_backend(2, "backend/q/c"), Some(0));
    // A proxy that starts meanwhile gets the merged state.
    fleet.proxy.clear();
    fleet.link_proxy();
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    // Back in touch, the feed's word goes once control had the time to read the registry itself.
    for control in &mut fleet.controls {
        control.silent = false;
    }
    fleet.run(1_500);
    assert!(fleet.core.in_touch());
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
    let at = fleet.at();
    fleet.control_sends(at, vec![ControlStandIn::stale(1)]);
    fleet.run(2_000);
    assert!(fleet.core.in_touch());
    assert!(fleet.registry_reads >= 1);
    let entries = vec![entry("a", BackendState::BackendDraining)];
    fleet.give(AgentInput::Registry(RegistryView { entries }));
    let draining = BackendState::BackendDraining as i32;
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    for control in &mut fleet.controls {
        control.stale_shards.clear();
    }
    fleet.run(1_500);
    // The new leader had no time to read the registry yet.
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(draining));
    fleet.run(4_000);
    assert_eq!(fleet.proxy_backend(1, "backend/p/a"), Some(0));
}

#[test]
fn an_agent_that_knows_no_backend_does_not_read_the_registry() {
    let mut fleet = Fleet::new(&ADDRESSES);
    for control in &mut fleet.controls {
        control.silent = true;
    }
    fleet.run(10_000);
    assert_eq!(fleet.registry_reads, 0);
}

#[test]
fn a_registry_that_refuses_is_asked_ever_more_seldom() {
    let mut fleet = Fleet::started(&ADDRESSES);
    for control in &mut fleet.controls {
        control.silent = true;
    }
    let mut refused = 0;
    for _ in 0..40 {
        fleet.run(500);
        while refused < fleet.registry_reads {
            refused += 1;
            fleet.give(AgentInput::RegistryFailed);
        }
    }
    // Twenty seconds: pauses of 1, 2, 4, 8 and more, each by up to a half shorter.
    assert!((3..=9).contains(&refused), "{refused} readings");
    // It gives its list again: the next readings come quicker.
    let before = fleet.registry_reads;
    for _ in 0..60 {
        fleet.run(1_000);
        if fleet.registry_reads > before + 1 {
            break;
        }
        let entries = vec![entry("a", BackendState::BackendActive)];
        fleet.give(AgentInput::Registry(RegistryView { entries }));
    }
    assert!(fleet.registry_reads > before + 1);
}

#[test]
fn an_expired_session_is_opened_anew_and_a_stopped_one_closed() {
    let mut fleet = Fleet::started(&ADDRESSES);
    let epoch = fleet.core.session_epoch();
    fleet.shared.sessions.clear();
    fleet.run(400);
    assert!(fleet.core.session_epoch() > epoch);
    fleet.give(AgentInput::Stop);
    fleet.run(10);
    assert!(fleet.stopped);
    assert_eq!(fleet.shared.closed, ["node-1"]);
}

#[test]
fn a_stop_without_any_control_node_ends_in_time() {
    let mut fleet = Fleet::started(&ADDRESSES);
    for control in &mut fleet.controls {
        control.silent = true;
    }
    fleet.give(AgentInput::Stop);
    fleet.run(1_010);
    assert!(fleet.stopped);
}

#[test]
fn nodes_that_are_slow_to_answer_are_given_longer_after_whole_rounds() {
    let mut fleet = Fleet::new(&ADDRESSES);
    for control in &mut fleet.controls {
        control.silent = true;
    }
    fleet.run(20_000);
    let times: Vec<u64> = fleet
        .connects
        .iter()
        .map(|(at, _)| at.as_millis())
        .collect();
    let first_round = times[1] - times[0];
    assert!((750..=800).contains(&first_round), "{first_round}");
    let later = times[times.len() - 2] - times[times.len() - 3];
    assert!((3_000..=4_100).contains(&later), "{later}");
    // Once a node proved good, the next silence counts from the start again.
    fleet
        .controls
        .iter_mut()
        .for_each(|control| control.silent = false);
    fleet.run(5_000);
    let first = fleet.at();
    fleet.controls[first].silent = true;
    fleet.run(1_100);
    assert_ne!(fleet.at(), first);
}
