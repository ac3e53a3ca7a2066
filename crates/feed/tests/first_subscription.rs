//! What a subscriber that holds nothing is sent first.

use millford_api::internal::{Subscribe, feed_message};
use millford_api::state::{ConfigHead, StateItem, StateValue, state_value};
use millford_core::ShardId;
use millford_feed::{FeedPosition, FeedPublisher};

fn head(revision: u64) -> StateItem {
    let head = ConfigHead {
        revision,
        digest: Vec::new(),
    };
    StateItem {
        key: "config/head".to_owned(),
        value: Some(StateValue {
            kind: Some(state_value::Kind::ConfigHead(head)),
        }),
    }
}

#[test]
fn a_restarted_node_is_never_taken_through_older_revisions() {
    let mut publisher = FeedPublisher::new(ShardId::CONFIGURATION);
    for revision in 1..=3 {
        let position = FeedPosition::new(1, revision);
        publisher.apply(position, vec![head(revision)]);
    }
    let nothing_shown = Subscribe {
        shard: 0,
        term: 0,
        offset: 0,
    };
    let messages = publisher.subscribe(1, &nothing_shown);
    assert_eq!(
        messages.len(),
        1,
        "one message brings it to the newest state"
    );
    let Some(feed_message::Kind::Snapshot(snapshot)) = &messages[0].kind else {
        panic!("expected the whole state, got {:?}", messages[0]);
    };
    assert_eq!(snapshot.items, vec![head(3)]);
}
