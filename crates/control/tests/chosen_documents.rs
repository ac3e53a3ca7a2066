//! Configuration documents with their own source and chosen revision are read back as they were sent.

mod support;

use std::time::Duration;

use millford_api::command::PutConfig;
use millford_control::{OperatorReply, OperatorRequest};
use millford_core::ResultCode;
use support::Cluster;
use support::orders::{cluster_with_leaders, document, order};

/// An order with a chosen revision and a source of about this many bytes.
fn order_with_source(base: u64, revision: u64, bytes: usize) -> OperatorRequest {
    let OperatorRequest::PutConfig(order) = order(base, "", document(&["library"])) else {
        unreachable!("order() returns a PutConfig");
    };
    let source = format!("{revision}:").into_bytes().into_iter();
    let source: Vec<u8> = source.chain(std::iter::repeat_n(b'.', bytes)).collect();
    OperatorRequest::PutConfig(PutConfig {
        revision,
        digest: source.clone(),
        source,
        ..order
    })
}

fn put(cluster: &mut Cluster, address: &str, order: OperatorRequest) -> Result<u64, ResultCode> {
    let request = cluster.request(address, order);
    match cluster.answer(request) {
        OperatorReply::Order(reply) => Ok(reply.revision),
        OperatorReply::Failed(failure) => Err(failure.code),
        other => panic!("unexpected reply to an order: {other:?}"),
    }
}

fn read(cluster: &mut Cluster, address: &str) -> (u64, Vec<u8>) {
    let request = cluster.request(address, OperatorRequest::GetConfig);
    match cluster.answer(request) {
        OperatorReply::Config(reply) => (reply.revision, reply.source),
        other => panic!("unexpected reply to a configuration read: {other:?}"),
    }
}

#[test]
fn the_source_and_the_chosen_revision_are_read_back_at_any_node() {
    let mut cluster = cluster_with_leaders(3, 5);
    assert_eq!(
        put(&mut cluster, "node-1", order_with_source(0, 7, 10)),
        Ok(7)
    );
    assert_eq!(
        put(&mut cluster, "node-2", order_with_source(7, 7, 11)),
        Err(ResultCode::RevisionNotAbove)
    );
    assert_eq!(
        put(&mut cluster, "node-3", order_with_source(7, 31, 12)),
        Ok(31)
    );
    assert_eq!(
        put(&mut cluster, "node-1", order_with_source(0, 7, 10)),
        Ok(7),
        "a repeated order is acknowledged again"
    );
    for address in ["node-1", "node-2", "node-3"] {
        let (revision, source) = read(&mut cluster, address);
        assert_eq!(revision, 31);
        assert!(source.starts_with(b"31:"));
    }
}

#[test]
fn hundreds_of_large_orders_survive_a_full_restart() {
    let mut cluster = cluster_with_leaders(3, 6);
    let mut base = 0;
    for step in 1..=300 {
        let revision = base + 1 + step % 5;
        assert_eq!(
            put(
                &mut cluster,
                "node-1",
                order_with_source(base, revision, 100_000)
            ),
            Ok(revision)
        );
        base = revision;
    }
    for address in ["node-1", "node-2", "node-3"] {
        cluster.kill(address);
    }
    for address in ["node-1", "node-2", "node-3"] {
        cluster.boot(address);
    }
    cluster.run_until(Duration::from_secs(12), "leaders", Cluster::has_leaders);
    let (revision, source) = read(&mut cluster, "node-2");
    assert_eq!(
        (revision, source.len()),
        (base, 100_000 + format!("{base}:").len())
    );
    assert_eq!(
        put(&mut cluster, "node-3", order_with_source(0, 2, 100_000)),
        Ok(2),
        "the first order is still acknowledged with its revision"
    );
}
