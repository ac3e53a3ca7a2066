//! A shard's whole public state as one message.

use std::collections::BTreeMap;

use millford_api::internal::StateSnapshot;
use millford_api::state::{StateItem, StateValue};
use millford_core::ShardId;

use crate::position::FeedPosition;

/// Every item of `shard` at `position`.
pub(crate) fn state_snapshot(
    shard: ShardId,
    position: FeedPosition,
    items: &BTreeMap<String, StateValue>,
) -> StateSnapshot {
    let items = items.iter().map(|(key, value)| StateItem {
        key: key.clone(),
        value: Some(value.clone()),
    });
    StateSnapshot {
        shard: shard.0,
        term: position.term,
        offset: position.offset,
        items: items.collect(),
        config_source: Vec::new(),
    }
}
