//! Tests of the first messages to a subscriber without any state.

use millford_api::internal::{StateSnapshot, Subscribe, feed_message};
use millford_api::state::{ConfigHead, StateItem, StateValue, state_value};
use millford_core::ShardId;
use millford_feed::{FeedOutcome, FeedPosition, FeedPublisher, FeedView};
use prost::Message;

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
fn a_restarted_node_never_receives_older_revisions() {
    let mut publisher = FeedPublisher::new(ShardId::CONFIGURATION);
    for revision in 1..=3 {
        let position = FeedPosition::new(1, revision);
        publisher.apply(position, vec![head(revision)]);
    }
    let from_start = Subscribe {
        shard: 0,
        term: 0,
        offset: 0,
    };
    let messages = publisher.subscribe(1, &from_start);
    assert_eq!(
        messages.len(),
        1,
        "one message must contain the newest state"
    );
    let Some(feed_message::Kind::PackedSnapshot(packed)) = &messages[0].kind else {
        panic!("expected a snapshot, got {:?}", messages[0]);
    };
    let snapshot = StateSnapshot::decode(packed.as_ref()).expect("a state");
    assert_eq!((snapshot.term, snapshot.offset), (1, 3));
    assert_eq!(snapshot.items, vec![head(3)]);
}

#[test]
fn entries_without_public_changes_reuse_the_encoded_snapshot_and_advance_a_view() {
    let mut publisher = FeedPublisher::new(ShardId::CONFIGURATION);
    publisher.apply(FeedPosition::new(1, 1), vec![head(1)]);
    let from_start = Subscribe::default();
    publisher.subscribe(1, &from_start);
    publisher.apply(FeedPosition::new(1, 2), Vec::new());
    publisher.apply(FeedPosition::new(2, 3), Vec::new());
    let mut view = FeedView::new(ShardId::CONFIGURATION);
    for message in publisher.subscribe(2, &from_start) {
        assert_ne!(view.apply(message), FeedOutcome::Stale);
    }
    assert_eq!(view.position(), publisher.position());
    assert_eq!(view.items(), publisher.items());
}
