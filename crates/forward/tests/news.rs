//! What news hold: whom a count was told to decides whether it is told again.

mod support;

use millford_api::config::{Tenant, TokenQuota};
use millford_core::time::monotonic_now;
use millford_forward::exchange::news::NewsWriter;
use support::backend::{Step, StubBackend};
use support::node::{Setup, TestNode};

fn tenant() -> Tenant {
    Tenant {
        name: "tenant".to_owned(),
        token_quota: Some(TokenQuota {
            tokens_per_second: 1000,
            burst: 1000,
            default_tokens: 10,
        }),
        ..Tenant::default()
    }
}

#[tokio::test]
async fn what_a_few_peers_heard_in_their_turn_is_still_news_to_all() {
    let backend = StubBackend::start(vec![Step::Hang]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend])
        .await
        .node;
    let now = monotonic_now();
    let mut writer = NewsWriter::new(1);
    assert_eq!(writer.write_turn(&node, now), None, "nothing was admitted");
    node.quotas
        .admit(now, &tenant(), 70)
        .expect("under its quota");
    let turn = writer
        .write_turn(&node, now)
        .expect("a turn tells everything");
    assert_eq!(turn.usage[0].used_tokens, 70);
    let all = writer
        .write(&node, now, false)
        .expect("the others did not hear it");
    assert_eq!(all.usage[0].used_tokens, 70);
    assert!(all.sequence > turn.sequence);
    assert_eq!(writer.write(&node, now, false), None, "all were told");
    assert!(writer.write(&node, now, true).is_some(), "all over again");
    assert!(
        writer.write_turn(&node, now).is_some(),
        "a turn is always whole"
    );
}
