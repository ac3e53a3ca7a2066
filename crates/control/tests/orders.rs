//! Configuration orders of operators: forwarding, conflicts, repetition, persistence.

mod support;

use std::time::Duration;

use millford_control::{OperatorReply, OperatorRequest};
use millford_core::{ResultCode, ShardId};
use support::Cluster;
use support::orders::{accept, cluster_with_leaders, document, order, revision};

fn code_of(reply: &OperatorReply) -> ResultCode {
    match reply {
        OperatorReply::Failed(failure) => failure.code,
        _ => ResultCode::Ok,
    }
}

#[test]
fn an_order_sent_to_any_node_is_accepted_and_read_at_every_node() {
    let mut cluster = cluster_with_leaders(3, 1);
    for (base, address) in ["node-1", "node-2", "node-3"].into_iter().enumerate() {
        let desired = document(&[&format!("tenant-{base}")]);
        accept(
            &mut cluster,
            address,
            base as u64,
            &format!("order-{base}"),
            desired,
        );
    }
    for address in ["node-1", "node-2", "node-3"] {
        assert_eq!(revision(&mut cluster, address), 3);
    }
}

#[test]
fn of_two_concurrent_orders_exactly_one_is_accepted() {
    for seed in 1..=20 {
        let mut cluster = cluster_with_leaders(3, seed);
        let first = cluster.request("node-1", order(0, "one", document(&["a"])));
        let second = cluster.request("node-2", order(0, "two", document(&["b"])));
        let replies = [cluster.answer(first), cluster.answer(second)];
        let mut codes = replies.each_ref().map(code_of);
        codes.sort();
        assert_eq!(
            codes,
            [ResultCode::Ok, ResultCode::RevisionConflict],
            "seed {seed}"
        );
        for reply in &replies {
            if let OperatorReply::Failed(failure) = reply {
                assert_eq!(
                    failure.revision,
                    Some(1),
                    "the conflict names the current revision"
                );
            }
        }
    }
}

#[test]
fn an_order_whose_reply_was_lost_is_acknowledged_again_by_another_node() {
    for seed in 1..=20 {
        let mut cluster = cluster_with_leaders(3, seed);
        let leader = cluster.leader(ShardId(0)).expect("a leader");
        let lost = cluster.request(&leader, order(0, "one", document(&["a"])));
        // The leader stops shortly after it received the order, before or after accepting it.
        cluster.run(Duration::from_millis(20 * (seed % 3)));
        cluster.kill(&leader);
        cluster.replies.remove(&lost);
        let other = ["node-1", "node-2", "node-3"]
            .into_iter()
            .find(|node| *node != leader);
        let other = other.expect("another node");
        accept(&mut cluster, other, 0, "one", document(&["a"]));
        accept(&mut cluster, other, 1, "two", document(&["a", "b"]));
        assert_eq!(revision(&mut cluster, other), 2, "seed {seed}");
    }
}

#[test]
fn seven_hundred_orders_survive_snapshots_and_a_full_restart() {
    let mut cluster = cluster_with_leaders(3, 4);
    for base in 0..700 {
        let address = ["node-1", "node-2", "node-3"][base as usize % 3];
        let name = format!("tenant-{base}");
        accept(
            &mut cluster,
            address,
            base,
            &format!("order-{base}"),
            document(&[&name]),
        );
    }
    let status = cluster
        .node("node-1")
        .core(ShardId(0))
        .expect("a core")
        .status();
    assert!(
        status.snapshot_index > 0,
        "a snapshot was taken: {status:?}"
    );
    for n in 1..=3 {
        cluster.kill(&format!("node-{n}"));
    }
    for n in 1..=3 {
        cluster.boot(&format!("node-{n}"));
    }
    let restarted = cluster.now;
    cluster.run_until(Duration::from_secs(12), "leaders", Cluster::has_leaders);
    assert_eq!(revision(&mut cluster, "node-2"), 700);
    let time = cluster.now.since(restarted);
    assert!(time < Duration::from_secs(12), "{time:?}");
    // The first order is still acknowledged with its revision.
    accept(
        &mut cluster,
        "node-3",
        0,
        "order-0",
        document(&["tenant-0"]),
    );
    assert_eq!(revision(&mut cluster, "node-1"), 700);
}

#[test]
fn a_node_without_quorum_does_not_answer_a_read() {
    let mut cluster = cluster_with_leaders(3, 6);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    let leader = cluster.leader(ShardId(0)).expect("a leader");
    cluster.partitioned.insert(leader.clone());
    cluster.run(Duration::from_secs(2));
    let request = cluster.request(&leader, OperatorRequest::GetConfig);
    let reply = cluster.answer(request);
    assert_eq!(code_of(&reply), ResultCode::ControlTimeout);
    let request = cluster.request(&leader, order(1, "two", document(&["b"])));
    let reply = cluster.answer(request);
    assert_eq!(code_of(&reply), ResultCode::OrderUncertain);
    // The other nodes have elected a leader meanwhile.
    let other = cluster.leader(ShardId(0)).expect("another leader");
    assert_ne!(other, leader);
    assert_eq!(revision(&mut cluster, &other), 1);
}
