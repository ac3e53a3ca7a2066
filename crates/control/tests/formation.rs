//! First start of nodes: forming a cluster, joining one, and waiting for the other seeds.

mod support;

use std::time::Duration;

use millford_control::{NodeEvent, OperatorReply, OperatorRequest};
use millford_core::ShardId;
use support::Cluster;

/// Number of times that a node has formed a cluster.
fn formed(cluster: &Cluster) -> usize {
    let node_events = cluster.node_events.iter();
    node_events
        .filter(|(_, event)| matches!(event, NodeEvent::ClusterFormed(_)))
        .count()
}

#[test]
fn three_empty_nodes_form_exactly_one_cluster() {
    for seed in 1..=30 {
        let mut cluster = Cluster::start(3, seed);
        cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
        assert_eq!(formed(&cluster), 1, "seed {seed}");
        assert_eq!(cluster.voters(ShardId(0)).len(), 3, "seed {seed}");
    }
}

#[test]
fn two_of_three_empty_seed_nodes_never_form_a_cluster() {
    let seeds = ["node-1", "node-2", "node-3"].map(str::to_owned).to_vec();
    let mut cluster = Cluster::empty(seeds, 7);
    cluster.boot("node-1");
    cluster.boot("node-2");
    cluster.run(Duration::from_secs(20));
    assert_eq!(formed(&cluster), 0);
    cluster.boot("node-3");
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    assert_eq!(formed(&cluster), 1);
}

#[test]
fn a_wiped_node_joins_the_formed_cluster_and_never_forms_another() {
    let mut cluster = Cluster::start(3, 3);
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    let former = cluster.identity("node-2");
    cluster.kill("node-2");
    cluster.machines["node-2"].disk.wipe();
    cluster.boot("node-2");
    cluster.run(Duration::from_secs(1));
    assert_eq!(formed(&cluster), 1);
    assert_ne!(
        cluster.identity("node-2"),
        former,
        "a node with a wiped disk gets a new identity"
    );
    let joined = cluster.node_events.iter().any(|(address, event)| {
        address == "node-2" && matches!(event, NodeEvent::JoinedAsStandby(_))
    });
    assert!(joined, "{:?}", cluster.node_events);
}

#[test]
fn a_founder_that_missed_the_formation_still_joins_as_a_founder() {
    let mut cluster = Cluster::start(3, 5);
    cluster.run_until(Duration::from_secs(4), "the formation", |cluster| {
        formed(cluster) == 1
    });
    let (former, _) = cluster
        .node_events
        .iter()
        .find(|(_, event)| matches!(event, NodeEvent::ClusterFormed(_)))
        .unwrap()
        .clone();
    // The announcements of the formation are still in flight: one founder stops before it
    // receives its own.
    let missed = cluster
        .machines
        .keys()
        .find(|address| **address != former)
        .unwrap()
        .clone();
    let identity = cluster.identity(&missed);
    cluster.kill(&missed);
    cluster.run(Duration::from_secs(2));
    cluster.boot(&missed);
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    assert_eq!(cluster.identity(&missed), identity);
    cluster.run(Duration::from_secs(1));
    assert!(cluster.node(&missed).gateway().has_quorum());
}

#[test]
fn an_unformed_node_refuses_requests_as_not_formed() {
    let mut cluster = Cluster::empty(vec!["node-1".to_owned(), "node-2".to_owned()], 1);
    cluster.boot("node-1");
    let request = cluster.request("node-1", OperatorRequest::GetConfig);
    let reply = cluster.answer(request);
    let OperatorReply::Failed(failure) = reply else {
        panic!("unexpected reply: {reply:?}");
    };
    assert_eq!(failure.code, millford_core::ResultCode::NotFormed);
}

#[test]
fn a_cluster_serves_again_after_all_nodes_restart() {
    let mut cluster = Cluster::start(3, 9);
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    let identities: Vec<_> = (1..=3)
        .map(|n| cluster.identity(&format!("node-{n}")))
        .collect();
    for n in 1..=3 {
        cluster.kill(&format!("node-{n}"));
    }
    cluster.run(Duration::from_secs(5));
    for n in 1..=3 {
        cluster.boot(&format!("node-{n}"));
    }
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    let after: Vec<_> = (1..=3)
        .map(|n| cluster.identity(&format!("node-{n}")))
        .collect();
    assert_eq!(identities, after);
    assert_eq!(formed(&cluster), 1);
}
