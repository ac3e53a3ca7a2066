//! Contents and receivers of usage messages: which counts are reported, and which are not reported again.

mod support;

use millford_api::config::{Tenant, TokenQuota};
use millford_core::time::monotonic_now;
use millford_forward::exchange::usage_messages::{UpdateScope, UsageMessageEncoder};
use support::backend::{Step, StubBackend};
use support::node::{Setup, TestNode};

fn tenant() -> Tenant {
    support::tenant::tenant(TokenQuota {
        tokens_per_second: 1000,
        burst: 1000,
        default_tokens: 10,
    })
}

#[tokio::test]
async fn reported_usage_is_not_sent_again_until_it_changes() {
    let backend = StubBackend::start(vec![Step::Hang]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend])
        .await
        .node;
    let now = monotonic_now();
    let mut encoder = UsageMessageEncoder::new(1);
    assert_eq!(
        encoder.encode_for_all(&node, now, UpdateScope::Full),
        None,
        "nothing was admitted"
    );
    node.quotas
        .admit(now, &tenant(), 70)
        .expect("the tenant is under its quota");
    let message = encoder
        .encode_for_all(&node, now, UpdateScope::Changes)
        .expect("an admission to report");
    assert_eq!(message.usage[0].used_tokens, 70);
    assert!(!message.is_owner, "{message:?}");
    assert_eq!(
        encoder.encode_for_all(&node, now, UpdateScope::Changes),
        None,
        "all usage was reported"
    );
    let again = encoder
        .encode_for_all(&node, now, UpdateScope::Full)
        .expect("a full update reports all usage");
    assert!(again.sequence > message.sequence);
}

#[tokio::test]
async fn an_owner_reports_to_the_other_owners_only() {
    let backend = StubBackend::start(vec![Step::Hang]).await;
    let nodes = TestNode::start_fleet(12, &Setup::with(|_| {}), &[&backend]).await;
    let now = monotonic_now();
    let ring = nodes[0].node.peers.ring(&nodes[0].node.state.table());
    let owners = ring.owners_of_tenant("tenant");
    assert_eq!(owners.len(), 4, "two in each of two zones");
    for test_node in &nodes {
        let node = &test_node.node;
        node.quotas
            .grant(now, &tenant(), 70, 0)
            .expect("the tenant has a quota");
        let mut encoder = UsageMessageEncoder::new(1);
        let messages = encoder.encode_for_owners(node, &ring, now, UpdateScope::Changes);
        let is_owner = owners.iter().any(|owner| owner.name == node.name);
        assert_eq!(
            messages.len(),
            if is_owner { 3 } else { 0 },
            "{}",
            node.name
        );
        for addressed in &messages {
            let message = &addressed.message;
            assert!(message.is_owner, "{message:?}");
            assert_eq!(message.usage[0].used_tokens, 70);
            let to = owners
                .iter()
                .find(|owner| owner.address == addressed.address);
            assert_ne!(to.expect("the receiver is an owner").name, node.name);
        }
        assert!(
            encoder
                .encode_for_owners(node, &ring, now, UpdateScope::Changes)
                .is_empty()
        );
        let full = encoder.encode_for_owners(node, &ring, now, UpdateScope::Full);
        assert_eq!(full.len(), messages.len(), "a full update");
    }
}

#[tokio::test]
async fn an_owner_of_many_tenants_reports_all_of_them() {
    const TENANTS: usize = 600;
    let backend = StubBackend::start(vec![Step::Hang]).await;
    let nodes = TestNode::start_fleet(2, &Setup::with(|_| {}), &[&backend]).await;
    let node = &nodes[0].node;
    let now = monotonic_now();
    let ring = node.peers.ring(&node.state.table());
    for number in 0..TENANTS {
        let tenant = Tenant {
            name: format!("tenant-{number}"),
            ..tenant()
        };
        node.quotas
            .grant(now, &tenant, 1, 0)
            .expect("the tenant has a quota");
    }
    let messages =
        UsageMessageEncoder::new(1).encode_for_owners(node, &ring, now, UpdateScope::Changes);
    let tenants: usize = messages
        .iter()
        .map(|addressed| addressed.message.usage.len())
        .sum();
    assert_eq!(tenants, TENANTS);
}
