//! Documents that came in another form are read back as they were sent, under the number that was chosen.

mod support;

use std::time::Duration;

use millford_api::command::PutConfig;
use millford_control::{OperatorReply, OperatorRequest};
use millford_core::ResultCode;
use support::Cluster;
use support::orders::{cluster_with_leaders, document, order};

/// An order for a document of about this many bytes, in a form of its own.
fn sourced(base: u64, revision: u64, bytes: usize) -> OperatorRequest {
    let OperatorRequest::PutConfig(order) = order(base, "", document(&["library"])) else {
        unreachable!("an order");
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
        other => panic!("no answer to an order: {other:?}"),
    }
}

fn read(cluster: &mut Cluster, address: &str) -> (u64, Vec<u8>) {
    let request = cluster.request(address, OperatorRequest::GetConfig);
    match cluster.answer(request) {
        OperatorReply::Config(reply) => (reply.revision, reply.source),
        other => panic!("no configuration: {other:?}"),
    }
}

#[test]
fn what_was_sent_is_read_back_at_any_node() {
    let mut cluster = cluster_with_leaders(3, 5);
    assert_eq!(put(&mut cluster, "node-1", sourced(0, 7, 10)), Ok(7));
    assert_eq!(
        put(&mut cluster, "node-2", sourced(7, 7, 11)),
        Err(ResultCode::RevisionNotAbove)
    );
    assert_eq!(put(&mut cluster, "node-3", sourced(7, 31, 12)), Ok(31));
    assert_eq!(
        put(&mut cluster, "node-1", sourced(0, 7, 10)),
        Ok(7),
        "acknowledged again"
    );
    for address in ["node-1", "node-2", "node-3"] {
        let (revision, source) = read(&mut cluster, address);
        assert_eq!(revision, 31);
        assert!(source.starts_with(b"31:"));
    }
}

#[test]
fn hundreds_of_large_changes_survive_a_restart_of_everything() {
    let mut cluster = cluster_with_leaders(3, 6);
    let mut base = 0;
    for step in 1..=300 {
        let revision = base + 1 + step % 5;
        assert_eq!(
            put(&mut cluster, "node-1", sourced(base, revision, 100_000)),
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
        put(&mut cluster, "node-3", sourced(0, 2, 100_000)),
        Ok(2),
        "the first is still known"
    );
}
