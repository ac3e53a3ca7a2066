//! Replacement of lost control nodes, and forced recovery.

mod support;

use std::time::Duration;

use millford_control::{NodeEvent, NodeInput, OperatorReply, OperatorRequest};
use millford_core::{ResultCode, ShardId};
use support::Cluster;
use support::orders::{accept, cluster_with_leaders, document, revision};

/// Time from a shutdown to the end of the process.
const ANNOUNCEMENT: Duration = Duration::from_millis(100);
/// Time from the end of one process to the shutdown of the next.
const BETWEEN_SHUTDOWNS: Duration = Duration::from_millis(900);
/// Time after which a node that is back must be able to replace another one.
const CATCH_UP: Duration = Duration::from_secs(4);

fn is_fully_replicated(cluster: &Cluster, addresses: &[&str]) -> bool {
    let mut expected: Vec<_> = addresses
        .iter()
        .map(|address| cluster.identity(address))
        .collect();
    expected.sort();
    (0..=2).all(|shard| cluster.voters(ShardId(shard)) == expected)
}

fn wait_until_fully_replicated(cluster: &mut Cluster, addresses: &[&str]) {
    cluster.run_until(Duration::from_secs(12), "full replication", |cluster| {
        is_fully_replicated(cluster, addresses)
    });
}

#[test]
fn an_empty_node_at_a_new_address_replaces_a_lost_one() {
    for seed in 1..=10 {
        let mut cluster = cluster_with_leaders(3, seed);
        accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
        cluster.kill("node-1");
        cluster.boot("node-4");
        wait_until_fully_replicated(&mut cluster, &["node-2", "node-3", "node-4"]);
        cluster.run(Duration::from_secs(2));
        assert_eq!(revision(&mut cluster, "node-4"), 1, "seed {seed}");
        assert!(cluster.node("node-4").gateway().has_quorum(), "seed {seed}");
    }
}

#[test]
fn a_second_loss_right_after_a_repair_is_tolerated() {
    for seed in 1..=10 {
        let mut cluster = cluster_with_leaders(3, seed);
        accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
        cluster.kill("node-1");
        cluster.boot("node-4");
        wait_until_fully_replicated(&mut cluster, &["node-2", "node-3", "node-4"]);
        cluster.kill("node-2");
        cluster.run_until(Duration::from_secs(12), "leaders", Cluster::has_leaders);
        assert_eq!(revision(&mut cluster, "node-4"), 1, "seed {seed}");
        accept(&mut cluster, "node-3", 1, "two", document(&["b"]));
        cluster.boot("node-5");
        wait_until_fully_replicated(&mut cluster, &["node-3", "node-4", "node-5"]);
        assert_eq!(revision(&mut cluster, "node-5"), 2, "seed {seed}");
    }
}

#[test]
fn a_wiped_node_replaces_its_former_identity() {
    let mut cluster = cluster_with_leaders(3, 2);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    let former = cluster.identity("node-3");
    cluster.kill("node-3");
    cluster.machines["node-3"].disk.wipe();
    cluster.boot("node-3");
    wait_until_fully_replicated(&mut cluster, &["node-1", "node-2", "node-3"]);
    assert_ne!(cluster.identity("node-3"), former);
    assert_eq!(revision(&mut cluster, "node-3"), 1);
}

#[test]
fn a_node_with_a_corrupt_log_gets_a_new_identity_and_its_state_from_its_peers() {
    let mut cluster = cluster_with_leaders(3, 3);
    for base in 0..20 {
        accept(
            &mut cluster,
            "node-1",
            base,
            &format!("order-{base}"),
            document(&["a"]),
        );
    }
    let former = cluster.identity("node-3");
    cluster.kill("node-3");
    cluster.machines["node-3"].disk.damage("shard-0");
    cluster.boot("node-3");
    wait_until_fully_replicated(&mut cluster, &["node-1", "node-2", "node-3"]);
    assert_ne!(cluster.identity("node-3"), former);
    assert_eq!(revision(&mut cluster, "node-3"), 20);
}

#[test]
fn a_removed_node_that_returns_starts_over_as_a_standby() {
    let mut cluster = cluster_with_leaders(3, 4);
    let former = cluster.identity("node-1");
    cluster.kill("node-1");
    cluster.boot("node-4");
    wait_until_fully_replicated(&mut cluster, &["node-2", "node-3", "node-4"]);
    cluster.run(Duration::from_secs(3));
    cluster.boot("node-1");
    cluster.run(Duration::from_secs(3));
    assert_ne!(cluster.identity("node-1"), former);
    assert!(is_fully_replicated(
        &cluster,
        &["node-2", "node-3", "node-4"]
    ));
    // It can replace a lost node again.
    cluster.kill("node-3");
    wait_until_fully_replicated(&mut cluster, &["node-1", "node-2", "node-4"]);
}

#[test]
fn a_partitioned_node_without_a_standby_stays_a_voter() {
    let mut cluster = cluster_with_leaders(3, 5);
    cluster.partitioned.insert("node-2".to_owned());
    cluster.run(Duration::from_secs(25));
    cluster.partitioned.clear();
    cluster.run(Duration::from_secs(3));
    assert!(is_fully_replicated(
        &cluster,
        &["node-1", "node-2", "node-3"]
    ));
    assert!(cluster.node("node-2").gateway().has_quorum());
}

#[test]
fn members_learned_later_survive_a_restart_without_reachable_seeds() {
    let mut cluster = cluster_with_leaders(3, 6);
    cluster.kill("node-1");
    cluster.boot("node-4");
    wait_until_fully_replicated(&mut cluster, &["node-2", "node-3", "node-4"]);
    cluster.kill("node-2");
    cluster.boot("node-5");
    wait_until_fully_replicated(&mut cluster, &["node-3", "node-4", "node-5"]);
    cluster.kill("node-3");
    cluster.run(Duration::from_secs(3));
    // No seed is running. The other nodes have stored each other's addresses.
    for address in ["node-4", "node-5"] {
        cluster.kill(address);
    }
    for address in ["node-4", "node-5"] {
        cluster.boot(address);
    }
    cluster.run_until(Duration::from_secs(12), "leaders", Cluster::has_leaders);
}

#[test]
fn forced_recovery_needs_a_lost_quorum_and_leaves_a_single_voter() {
    let mut cluster = cluster_with_leaders(3, 7);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    let own = cluster.identity("node-1");
    let recover = OperatorRequest::Recover {
        survivors: vec![own],
    };
    let request = cluster.request("node-1", recover.clone());
    let OperatorReply::Failed(failure) = cluster.answer(request) else {
        panic!("recovery was not refused although a quorum is reachable");
    };
    assert_eq!(failure.code, ResultCode::RecoveryRefused);
    cluster.kill("node-2");
    cluster.kill("node-3");
    cluster.run(Duration::from_secs(3));
    let request = cluster.request("node-1", recover);
    let OperatorReply::Recovery(reply) = cluster.answer(request) else {
        panic!("recovery was refused");
    };
    assert_eq!(reply.shards, [0, 1, 2]);
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    assert_eq!(revision(&mut cluster, "node-1"), 1);
    accept(&mut cluster, "node-1", 1, "two", document(&["b"]));
    let forced = cluster
        .node_events
        .iter()
        .filter(|(_, event)| matches!(event, NodeEvent::RecoveryForced(_)));
    assert_eq!(forced.count(), 3);
    // Empty machines restore full replication.
    cluster.boot("node-4");
    cluster.boot("node-5");
    wait_until_fully_replicated(&mut cluster, &["node-1", "node-4", "node-5"]);
}

/// Starts five machines, three of which form the cluster, with five voters for each shard.
fn cluster_with_five_voters(seed: u64) -> Cluster {
    let seeds = ["node-1", "node-2", "node-3"].map(str::to_owned);
    let mut cluster = Cluster::empty(seeds.to_vec(), seed).with_voters(5);
    for address in FIVE_NODES {
        cluster.boot(address);
    }
    cluster.run_until(Duration::from_secs(12), "leaders", Cluster::has_leaders);
    cluster
}

const FIVE_NODES: [&str; 5] = ["node-1", "node-2", "node-3", "node-4", "node-5"];

#[test]
fn groups_grow_to_five_voters_and_tolerate_the_loss_of_two_nodes() {
    for (first, second) in [(0, 1), (1, 2), (0, 2), (3, 4), (2, 3)] {
        let mut cluster = cluster_with_five_voters(first as u64 + 10);
        wait_until_fully_replicated(&mut cluster, &FIVE_NODES);
        accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
        cluster.kill(FIVE_NODES[first]);
        cluster.kill(FIVE_NODES[second]);
        let mut left = FIVE_NODES.iter().enumerate();
        let left = left.find(|(index, _)| *index != first && *index != second);
        let (_, survivor) = left.expect("three nodes are left");
        cluster.run_until(Duration::from_secs(12), "leaders", Cluster::has_leaders);
        assert_eq!(revision(&mut cluster, survivor), 1, "{first} and {second}");
    }
}

/// Boots an empty node, stops `old` and waits until `voters` hold every shard.
fn replace(cluster: &mut Cluster, old: &str, new: &str, voters: &[&str]) {
    cluster.boot(new);
    cluster.kill(old);
    wait_until_fully_replicated(cluster, voters);
}

/// Guards against a node that never takes part again, because every address that it knows is gone, or does so only half
/// a minute later, because it waits for the voters that it knows (review/3).
#[test]
fn a_node_out_of_touch_while_the_others_were_replaced_takes_part_again_once_it_reads_the_seeds() {
    for seed in 1..=10 {
        let mut cluster = cluster_with_leaders(3, seed);
        accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
        let former = cluster.identity("node-3");
        cluster.partitioned.insert("node-3".to_owned());
        cluster.boot("node-4");
        wait_until_fully_replicated(&mut cluster, &["node-1", "node-2", "node-4"]);
        replace(
            &mut cluster,
            "node-1",
            "node-5",
            &["node-2", "node-4", "node-5"],
        );
        replace(
            &mut cluster,
            "node-2",
            "node-6",
            &["node-4", "node-5", "node-6"],
        );
        cluster.partitioned.clear();
        let seeds = ["node-4", "node-5", "node-6"].map(str::to_owned);
        cluster.input("node-3", NodeInput::Seeds(seeds.to_vec()));
        cluster.run_until(CATCH_UP, "a new identity", |cluster| {
            cluster.identity("node-3") != former
        });
        cluster.kill("node-4");
        wait_until_fully_replicated(&mut cluster, &["node-3", "node-5", "node-6"]);
        assert_eq!(revision(&mut cluster, "node-3"), 1, "seed {seed}");
    }
}

/// Guards against a control plane that two planned replacements in quick succession end for good (review/4): a successor
/// stood by until the voter that it succeeds had been silent for long.
#[test]
fn two_nodes_that_shut_down_one_after_the_other_are_replaced_by_standbys() {
    for seed in 1..=10 {
        let mut cluster = cluster_with_leaders(3, seed);
        accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
        cluster.boot("node-4");
        cluster.boot("node-5");
        cluster.run(CATCH_UP);
        for leaving in ["node-1", "node-2"] {
            cluster.input(leaving, NodeInput::Shutdown);
            cluster.run(ANNOUNCEMENT);
            cluster.kill(leaving);
            cluster.run(BETWEEN_SHUTDOWNS);
        }
        wait_until_fully_replicated(&mut cluster, &["node-3", "node-4", "node-5"]);
        assert_eq!(revision(&mut cluster, "node-5"), 1, "seed {seed}");
        accept(&mut cluster, "node-3", 1, "two", document(&["b"]));
    }
}
