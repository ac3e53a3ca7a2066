//! The proxy's copy of the public state of all shards, as received from the agent.

use std::collections::BTreeMap;

use millford_api::internal::{StateChange, StateSnapshot};
use millford_api::state::state_value::Kind;
use millford_api::state::{StateItem, StateValue};
use millford_routing::RoutingTable;

/// Result of applying a feed message to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewOutcome {
    /// The message was applied.
    Changed,
    /// The message is older than the view's position and was ignored.
    Stale,
    /// Changes between the view's position and this one are missing, so a snapshot is needed.
    Gap,
}

/// Position in a shard's log, ordered by term and then by offset. The position of a view never
/// decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct FeedPosition {
    term: u64,
    offset: u64,
}

/// Items of one shard at one position of its log.
#[derive(Debug, Default)]
struct ShardItems {
    position: FeedPosition,
    items: BTreeMap<String, StateValue>,
}

/// Items of every shard, each at its own position.
#[derive(Debug, Default)]
pub struct ControlView {
    shards: BTreeMap<u32, ShardItems>,
}

impl ControlView {
    /// Replaces a shard's items unless the snapshot is older than the view's position.
    pub fn apply_snapshot(&mut self, snapshot: StateSnapshot) -> ViewOutcome {
        let position = FeedPosition {
            term: snapshot.term,
            offset: snapshot.offset,
        };
        let current = self.shards.get(&snapshot.shard);
        // A node that has applied a revision must never apply an older one.
        if current.is_some_and(|current| position < current.position) {
            return ViewOutcome::Stale;
        }
        let mut shard = ShardItems {
            position,
            items: BTreeMap::new(),
        };
        apply_items(&mut shard.items, snapshot.items);
        self.shards.insert(snapshot.shard, shard);
        ViewOutcome::Changed
    }

    /// Applies a change that follows the view's position without a gap, or an amendment at that position: a
    /// change whose offset equals its previous offset.
    pub fn apply_change(&mut self, change: StateChange) -> ViewOutcome {
        let Some(current) = self.shards.get_mut(&change.shard) else {
            return ViewOutcome::Gap;
        };
        let position = FeedPosition {
            term: change.term,
            offset: change.offset,
        };
        let amends = change.previous_offset == change.offset;
        if position < current.position || (position == current.position && !amends) {
            return ViewOutcome::Stale;
        }
        if current.position.offset < change.previous_offset {
            return ViewOutcome::Gap;
        }
        apply_items(&mut current.items, change.items);
        current.position = position;
        ViewOutcome::Changed
    }

    /// Builds the routing table from the items of all shards.
    #[must_use]
    pub fn table(&self) -> RoutingTable {
        let shards = self.shards.values();
        let items = shards.flat_map(|shard| shard.items.iter());
        RoutingTable::build(items.map(|(key, value)| (key.as_str(), value)))
    }
}

fn apply_items(target: &mut BTreeMap<String, StateValue>, items: Vec<StateItem>) {
    for item in items {
        match item.value {
            Some(value) if is_fenced(target.get(&item.key), &value) => {}
            Some(value) => {
                target.insert(item.key, value);
            }
            None => {
                target.remove(&item.key);
            }
        }
    }
}

/// Returns whether `value` is a placement from an older epoch of the placement role than `current`.
fn is_fenced(current: Option<&StateValue>, value: &StateValue) -> bool {
    let epoch = |value: &StateValue| match &value.kind {
        Some(Kind::Placement(placement)) => Some(placement.epoch),
        _ => None,
    };
    epoch(value) < current.and_then(epoch)
}
