//! Feeds, heartbeats and sessions of agents.

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

/// Runs the cluster for a time while the agents receive their frames.
fn run_with_agents(cluster: &mut Cluster, agents: &mut [TestAgent], time: Duration) {
    let end = cluster.now + time;
    while cluster.now < end {
        cluster.run(Duration::from_millis(20));
        for agent in agents.iter_mut() {
            agent.receive(cluster);
        }
    }
}

/// Connects one agent to each node.
fn connect_agents(cluster: &mut Cluster) -> Vec<TestAgent> {
    let nodes = NODES.into_iter();
    nodes
        .map(|node| TestAgent::connect(cluster, &format!("agent-{node}"), node, ShardId(0)))
        .collect()
}

#[test]
fn an_accepted_order_reaches_every_agent_and_a_revoked_key_is_removed_everywhere() {
    let mut cluster = cluster_with_leaders(3, 1);
    let mut agents = connect_agents(&mut cluster);
    accept(&mut cluster, "node-2", 0, "one", document(&["a", "b"]));
    let accepted = cluster.now;
    run_with_agents(&mut cluster, &mut agents, Duration::from_millis(500));
    for agent in &agents {
        assert_eq!(tenants(agent), ["a", "b"], "{}", agent.name);
    }
    accept(&mut cluster, "node-3", 1, "two", document(&["a"]));
    let revoked = cluster.now;
    assert!(revoked > accepted, "{revoked:?} after {accepted:?}");
    run_with_agents(&mut cluster, &mut agents, Duration::from_millis(500));
    for agent in &agents {
        assert_eq!(tenants(agent), ["a"], "{}", agent.name);
    }
}

#[test]
fn a_node_that_lost_its_quorum_reports_it_within_1500_ms() {
    let mut cluster = cluster_with_leaders(3, 2);
    let mut agents = connect_agents(&mut cluster);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    run_with_agents(&mut cluster, &mut agents, Duration::from_millis(300));
    // Without the other two nodes, the third keeps its links to agents but has no quorum.
    cluster.kill("node-2");
    cluster.kill("node-3");
    run_with_agents(&mut cluster, &mut agents, Duration::from_millis(1500));
    assert!(agents[0].stale, "the agent's feed did not end as stale");
    agents[0].heartbeat(&mut cluster);
    run_with_agents(&mut cluster, &mut agents, Duration::from_millis(60));
    let reply = agents[0].last_heartbeat.clone().expect("a heartbeat reply");
    assert!(!reply.has_quorum, "{reply:?}");
    // An agent that connects now gets no state at all, since it may be outdated.
    let mut late_agent = TestAgent::connect(&mut cluster, "newcomer", "node-1", ShardId(0));
    cluster.run(Duration::from_secs(3));
    late_agent.receive(&mut cluster);
    assert!(
        late_agent.stale,
        "the late agent's feed did not end as stale"
    );
    let items = late_agent.view.items();
    assert!(items.is_empty(), "{items:?}");
}

#[test]
fn a_node_serves_no_stale_state_after_a_long_partition() {
    for seed in 1..=10 {
        let mut cluster = cluster_with_leaders(3, seed);
        accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
        cluster.run(Duration::from_millis(200));
        let partitioned = cluster.leader(ShardId(0)).expect("a leader");
        cluster.partitioned.insert(partitioned.clone());
        // Shorter than `replace_after` (5 s), so that the node returns as a voter.
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
                "seed {seed}: revision {shown} is outdated"
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
        // `TestAgent::receive` panics if a message is older than the agent's state.
        agent.receive(&mut cluster);
        let now_shown = applied_revision(&agent);
        assert!(now_shown >= shown, "{now_shown} after {shown}");
        shown = now_shown;
    }
    assert_eq!(shown, 30);
}

#[test]
fn heartbeats_keep_a_session_open_across_a_leader_change_and_it_expires_without_them() {
    let mut cluster = cluster_with_leaders(3, 4);
    let mut agent = TestAgent::connect(&mut cluster, "agent", "node-1", ShardId(0));
    agent.open_session(&mut cluster, 1);
    let first = agent.epoch;
    agent.heartbeat_for(&mut cluster, Duration::from_secs(8));
    assert!(
        agent
            .last_heartbeat
            .as_ref()
            .expect("a heartbeat reply")
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
            .expect("a heartbeat reply")
            .session_alive
    );
    // After a pause longer than the lease the session is closed, which the next heartbeat
    // reply reports.
    cluster.run(Duration::from_secs(5));
    agent.heartbeat_for(&mut cluster, Duration::from_secs(1));
    assert!(
        !agent
            .last_heartbeat
            .as_ref()
            .expect("a heartbeat reply")
            .session_alive
    );
    agent.open_session(&mut cluster, 1);
    assert!(agent.epoch > first, "the new session has a larger epoch");
}

#[test]
fn opening_a_session_again_gives_the_same_epoch_and_a_restart_a_new_one() {
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

/// Longest time until a starting node replies to a heartbeat: an agent leaves a node that is
/// unresponsive for 750 ms.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(640);

#[test]
fn early_heartbeats_after_a_full_restart_are_answered_with_quorum() {
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
        let mut agents = connect_agents(&mut cluster);
        for agent in &mut agents {
            agent.heartbeat(&mut cluster);
        }
        run_with_agents(&mut cluster, &mut agents, MAX_HEARTBEAT_DELAY);
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
    run_with_agents(
        &mut cluster,
        std::slice::from_mut(&mut agent),
        MAX_HEARTBEAT_DELAY,
    );
    let reply = agent.last_heartbeat.clone().expect("a heartbeat reply");
    assert!(!reply.has_quorum, "{reply:?}");
    // Later heartbeats are answered at once.
    agent.last_heartbeat = None;
    agent.heartbeat(&mut cluster);
    run_with_agents(
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

/// The partition is between the leader and one follower; both stay connected to the third node.
#[test]
fn a_replica_without_leader_contact_opens_no_feed() {
    let mut cluster = cluster_with_leaders(3, 3);
    cluster.run(Duration::from_secs(1));
    let leader = cluster.leader(ShardId(0)).expect("a leader");
    let cut_off = NODES
        .into_iter()
        .find(|node| *node != leader)
        .expect("a follower");
    cluster
        .partitioned_pairs
        .insert((leader.clone(), cut_off.to_owned()));
    cluster
        .partitioned_pairs
        .insert((cut_off.to_owned(), leader));
    cluster.run(Duration::from_secs(5));
    let mut agent = TestAgent::connect(&mut cluster, "agent", cut_off, ShardId(0));
    let limit = Duration::from_millis(1500);
    run_with_agents(&mut cluster, std::slice::from_mut(&mut agent), limit);
    assert!(agent.stale, "the agent's feed did not end as stale");
}

/// Agents subscribe again every second while the feed does not open. That must not restart the
/// waiting time: the node still has no quorum, and the agent would stay with it forever.
#[test]
fn repeated_subscriptions_without_confirmation_are_answered_as_stale() {
    let mut cluster = cluster_with_leaders(3, 3);
    cluster.run(Duration::from_secs(1));
    cluster.kill("node-2");
    cluster.kill("node-3");
    cluster.run(Duration::from_secs(2));
    let mut agent = TestAgent::connect(&mut cluster, "agent", "node-1", ShardId(0));
    for _ in 0..4 {
        run_with_agents(
            &mut cluster,
            std::slice::from_mut(&mut agent),
            Duration::from_millis(900),
        );
        agent.subscribe(&mut cluster);
    }
    assert!(agent.stale, "the agent's feed did not end as stale");
}
