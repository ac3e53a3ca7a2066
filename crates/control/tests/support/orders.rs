//! Configuration orders for tests.

use std::time::Duration;

use millford_api::command::PutConfig;
use millford_api::config::{Document, Pool, Quota, Selector, Tenant};
use millford_control::{OperatorReply, OperatorRequest};
use millford_control_state::document;

use super::cluster::Cluster;

/// A document with one pool and these tenants, each with its name as its only key.
pub(crate) fn document(tenants: &[&str]) -> Document {
    let tenants = tenants.iter().map(|name| Tenant {
        name: (*name).to_owned(),
        key_hashes: vec![millford_core::hash_tenant_key(name)],
        quota: Some(Quota {
            requests_per_second: 10,
            burst: 20,
            concurrent_streams: 4,
        }),
        ..Default::default()
    });
    Document {
        routes: Vec::new(),
        pools: vec![Pool {
            name: "pool".to_owned(),
            selector: Some(Selector {
                model: "saga".to_owned(),
                ..Selector::default()
            }),
            drain_ms: 3000,
            ..Pool::default()
        }],
        tenants: tenants.collect(),
        ..Default::default()
    }
}

/// An order for this document, based on a revision.
pub(crate) fn order(base: u64, id: &str, desired: Document) -> OperatorRequest {
    OperatorRequest::PutConfig(PutConfig {
        base_revision: base,
        order_id: id.to_owned(),
        digest: document::digest(&desired),
        document: Some(desired),
        ..Default::default()
    })
}

/// Sends an order and checks that it is accepted as the next revision.
pub(crate) fn accept(cluster: &mut Cluster, address: &str, base: u64, id: &str, desired: Document) {
    let request = cluster.request(address, order(base, id, desired));
    match cluster.answer(request) {
        OperatorReply::Order(reply) => assert_eq!(reply.revision, base + 1),
        other => panic!("unexpected reply to order {id}: {other:?}"),
    }
}

/// Reads the configuration's revision at a node, by a confirmed read.
pub(crate) fn revision(cluster: &mut Cluster, address: &str) -> u64 {
    let request = cluster.request(address, OperatorRequest::GetConfig);
    match cluster.answer(request) {
        OperatorReply::Config(reply) => reply.revision,
        other => panic!("unexpected reply to a configuration read: {other:?}"),
    }
}

/// Starts a cluster and runs it until every shard has a leader, and one second longer.
pub(crate) fn cluster_with_leaders(nodes: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::start(nodes, seed);
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    cluster.run(Duration::from_secs(1));
    cluster
}
