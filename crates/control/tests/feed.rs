//! Feeds and sessions of agents.

mod support;

use std::time::Duration;

use millford_api::state::state_value::Kind;
use millford_core::{ShardId, ShardLayout, session_key};
use support::orders::{accept, cluster_with_leaders, document};
use support::{Cluster, TestAgent};

const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];

fn tenants(agent: &TestAgent) -> Vec<String> {
    let keys = agent.view.items().keys();
    keys.filter_map(|key| key.strip_prefix("config/tenant/").map(str::to_owned))
        .collect()
}

fn applied_revision(agent: &TestAgent) -> u64 {
    let head = agent.view.items().get("config/head");
    match head.and_then(|head| head.kind.as_ref()) {
        Some(Kind::ConfigHead(head)) => head.revision,
        _ => 0,
    }
}

fn follow(cluster: &mut Cluster, agents: &mut [TestAgent], time: Duration) {
    let end = cluster.now + time;
    while cluster.now < end {
        cluster.run(Duration::from_millis(20));
        for agent in agents.iter_mut() {
            agent.receive(cluster);
        }
    }
}

fn agents_everywhere(cluster: &mut Cluster) -> Vec<TestAgent> {
    let nodes = NODES.into_iter();
    nodes
        .map(|node| TestAgent::connect(cluster, &format!("agent-{node}"), node, ShardId(0)))
        .collect()
}

#[test]
fn an_accepted_order_reaches_every_agent_and_a_revoked_key_is_removed_everywhere() {
    let mut cluster = cluster_with_leaders(3, 1);
    let mut agents = agents_everywhere(&mut cluster);
    accept(&mut cluster, "node-2", 0, "one", document(&["a", "b"]));
    let accepted = cluster.now;
    follow(&mut cluster, &mut agents, Duration::from_millis(500));
    for agent in &agents {
        assert_eq!(tenants(agent), ["a", "b"], "{}", agent.name);
    }
    accept(&mut cluster, "node-3", 1, "two", document(&["a"]));
    let revoked = cluster.now;
    assert!(revoked > accepted, "{revoked:?} after {accepted:?}");
    follow(&mut cluster, &mut agents, Duration::from_millis(500));
    for agent in &agents {
        assert_eq!(tenants(agent), ["a"], "{}", agent.name);
    }
}

#[test]
fn a_node_that_lost_its_quorum_reports_it_within_1500_ms() {
    let mut cluster = cluster_with_leaders(3, 2);
    let mut agents = agents_everywhere(&mut cluster);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    follow(&mut cluster, &mut agents, Duration::from_millis(300));
    // Two nodes die: the third keeps its links to agents and has no quorum.
    cluster.kill("node-2");
    cluster.kill("node-3");
    follow(&mut cluster, &mut agents, Duration::from_millis(1500));
    assert!(agents[0].stale, "the agent was sent elsewhere");
    agents[0].heartbeat(&mut cluster);
    follow(&mut cluster, &mut agents, Duration::from_millis(60));
    let reply = agents[0]
        .last_heartbeat
        .clone()
        .expect("a heartbeat's answer");
    assert!(!reply.has_quorum, "{reply:?}");
    // A newcomer gets no state, however old.
    let mut newcomer = TestAgent::connect(&mut cluster, "newcomer", "node-1", ShardId(0));
    cluster.run(Duration::from_secs(3));
    newcomer.receive(&mut cluster);
    assert!(newcomer.stale, "the newcomer was not sent elsewhere");
    let items = newcomer.view.items();
    assert!(items.is_empty(), "{items:?}");
}

#[test]
fn a_node_serves_nothing_stale_after_a_long_partition() {
    for seed in 1..=10 {
        let mut cluster = cluster_with_leaders(3, seed);
        accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
        cluster.run(Duration::from_millis(200));
        let partitioned = cluster.leader(ShardId(0)).expect("a leader");
        cluster.partitioned.insert(partitioned.clone());
        // Shorter than the time after which it is replaced, so that it comes back as a voter.
        cluster.run(Duration::from_secs(3));
        let other = cluster.leader(ShardId(0)).expect("another leader");
        accept(&mut cluster, &other, 1, "two", document(&["a", "b"]));
        cluster.partitioned.clear();
        let mut agent = TestAgent::connect(&mut cluster, "agent", &partitioned, ShardId(0));
        for _ in 0..100 {
            cluster.run(Duration::from_millis(20));
            agent.receive(&mut cluster);
            let shown = applied_revision(&agent);
            assert!(
                shown == 0 || shown == 2,
                "seed {seed}: revision {shown} is old"
            );
            if agent.stale {
                agent.move_to(&mut cluster, &partitioned);
            }
        }
        assert_eq!(applied_revision(&agent), 2, "seed {seed}");
    }
}

#[test]
fn an_agent_that_changes_nodes_never_sees_an_older_state() {
    let mut cluster = cluster_with_leaders(3, 3);
    let mut agent = TestAgent::connect(&mut cluster, "agent", "node-1", ShardId(0));
    let mut shown = 0;
    for base in 0..30u64 {
        let name = format!("tenant-{base}");
        accept(
            &mut cluster,
            "node-2",
            base,
            &format!("order-{base}"),
            document(&[&name]),
        );
        let to = ["node-1", "node-2", "node-3"][base as usize % 3];
        agent.move_to(&mut cluster, to);
        cluster.run(Duration::from_millis(60));
        // The support panics when a message is older than what is shown.
        agent.receive(&mut cluster);
        let now_shown = applied_revision(&agent);
        assert!(now_shown >= shown, "{now_shown} after {shown}");
        shown = now_shown;
    }
    assert_eq!(shown, 30);
}

#[test]
fn heartbeats_keep_a_session_over_a_leader_change_and_it_expires_without() {
    let mut cluster = cluster_with_leaders(3, 4);
    let mut agent = TestAgent::connect(&mut cluster, "agent", "node-1", ShardId(0));
    agent.open_session(&mut cluster, 1);
    let first = agent.epoch;
    agent.heartbeat_for(&mut cluster, Duration::from_secs(8));
    assert!(
        agent
            .last_heartbeat
            .as_ref()
            .expect("an answer")
            .session_alive
    );
    let shard = ShardLayout::new(2).shard_of(&session_key("agent"));
    let leader = cluster.leader(shard).expect("a leader");
    if leader != "node-1" {
        cluster.kill(&leader);
    }
    agent.heartbeat_for(&mut cluster, Duration::from_secs(8));
    assert!(
        agent
            .last_heartbeat
            .as_ref()
            .expect("an answer")
            .session_alive
    );
    // Inactivity longer than the lease: the session is closed, and the next heartbeat says so.
    cluster.run(Duration::from_secs(5));
    agent.heartbeat_for(&mut cluster, Duration::from_secs(1));
    assert!(
        !agent
            .last_heartbeat
            .as_ref()
            .expect("an answer")
            .session_alive
    );
    agent.open_session(&mut cluster, 1);
    assert!(
        agent.epoch > first,
        "a new session is fenced from the old one"
    );
}

#[test]
fn a_resent_open_gives_the_same_epoch_and_a_restart_a_new_one() {
    let mut cluster = cluster_with_leaders(3, 5);
    let mut agent = TestAgent::connect(&mut cluster, "agent", "node-1", ShardId(0));
    agent.open_session(&mut cluster, 1);
    let first = agent.epoch;
    agent.move_to(&mut cluster, "node-2");
    agent.open_session(&mut cluster, 1);
    assert_eq!(agent.epoch, first);
    agent.open_session(&mut cluster, 2);
    assert!(agent.epoch > first, "{} after {first}", agent.epoch);
}

/// Answers to heartbeats are never waited for longer than this after a start: an agent leaves a
/// node that is unresponsive for 750 ms.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(640);

#[test]
fn early_heartbeats_of_a_restarting_fleet_are_answered_with_quorum() {
    for seed in 0..20 {
        let mut cluster = cluster_with_leaders(3, seed);
        cluster.run(Duration::from_secs(1));
        for node in NODES {
            cluster.kill(node);
        }
        cluster.run(Duration::from_millis(500));
        for node in NODES {
            cluster.boot(node);
        }
        let mut agents = agents_everywhere(&mut cluster);
        for agent in &mut agents {
            agent.heartbeat(&mut cluster);
        }
        follow(&mut cluster, &mut agents, MAX_HEARTBEAT_DELAY);
        for agent in &agents {
            let reply = agent.last_heartbeat.as_ref();
            let has_quorum = reply.map(|reply| reply.has_quorum);
            assert_eq!(has_quorum, Some(true), "seed {seed}, {}", agent.name);
        }
    }
}

#[test]
fn a_node_that_starts_without_peers_soon_reports_no_quorum() {
    let mut cluster = cluster_with_leaders(3, 1);
    for node in NODES {
        cluster.kill(node);
    }
    cluster.run(Duration::from_millis(500));
    cluster.boot("node-2");
    let mut agent = TestAgent::connect(&mut cluster, "agent", "node-2", ShardId(0));
    agent.heartbeat(&mut cluster);
    follow(
        &mut cluster,
        std::slice::from_mut(&mut agent),
        MAX_HEARTBEAT_DELAY,
    );
    let reply = agent.last_heartbeat.clone().expect("an answer");
    assert!(!reply.has_quorum, "{reply:?}");
    // Later heartbeats are answered at once.
    agent.last_heartbeat = None;
    agent.heartbeat(&mut cluster);
    follow(
        &mut cluster,
        std::slice::from_mut(&mut agent),
        Duration::from_millis(40),
    );
    let reply = agent.last_heartbeat.clone();
    assert!(
        reply.as_ref().is_some_and(|reply| !reply.has_quorum),
        "{reply:?}"
    );
}

/// The partition lies between two nodes: both are connected to the third.
#[test]
fn a_replica_without_leader_contact_opens_no_feed() {
    let mut cluster = cluster_with_leaders(3, 3);
    cluster.run(Duration::from_secs(1));
    let leader = cluster.leader(ShardId(0)).expect("a leader");
    let deaf = NODES
        .into_iter()
        .find(|node| *node != leader)
        .expect("a follower");
    cluster
        .partitioned_pairs
        .insert((leader.clone(), deaf.to_owned()));
    cluster.partitioned_pairs.insert((deaf.to_owned(), leader));
    cluster.run(Duration::from_secs(5));
    let mut agent = TestAgent::connect(&mut cluster, "agent", deaf, ShardId(0));
    let limit = Duration::from_millis(1500);
    follow(&mut cluster, std::slice::from_mut(&mut agent), limit);
    assert!(agent.stale, "it is sent elsewhere");
}

/// Agents subscribe again every second while a shard is not confirmed. That must not begin the wait
/// anew: the node is as deaf as before, and the agent would stay with it.
#[test]
fn repeated_subscriptions_without_confirmation_are_answered_as_stale() {
    let mut cluster = cluster_with_leaders(3, 3);
    cluster.run(Duration::from_secs(1));
    cluster.kill("node-2");
    cluster.kill("node-3");
    cluster.run(Duration::from_secs(2));
    let mut agent = TestAgent::connect(&mut cluster, "agent", "node-1", ShardId(0));
    for _ in 0..4 {
        follow(
            &mut cluster,
            std::slice::from_mut(&mut agent),
            Duration::from_millis(900),
        );
        agent.subscribe(&mut cluster);
    }
    assert!(agent.stale, "it is sent elsewhere");
}
