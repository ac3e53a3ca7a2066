//! The public state of all shards, as the agent passes it on.

use std::collections::BTreeMap;

use millford_api::internal::{StateChange, StateSnapshot};
use millford_api::state::state_value::Kind;
use millford_api::state::{StateItem, StateValue};
use millford_routing::RoutingTable;

/// What a feed message did to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewOutcome {
    /// Items changed.
    Changed,
    /// Older than what is shown: ignored.
    Stale,
    /// A change does not join on to what is shown: a snapshot is needed.
    Gap,
}

/// A place in a shard's history. It never goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    term: u64,
    offset: u64,
}

#[derive(Debug, Default)]
struct ShardItems {
    place: Place,
    items: BTreeMap<String, StateValue>,
}

/// Items of every shard, each at its own place.
#[derive(Debug, Default)]
pub struct ControlView {
    shards: BTreeMap<u32, ShardItems>,
}

impl ControlView {
    /// Replaces a shard's items, unless the snapshot is older than what was shown.
    pub fn apply_snapshot(&mut self, snapshot: StateSnapshot) -> ViewOutcome {
        let place = Place {
            term: snapshot.term,
            offset: snapshot.offset,
        };
        let shown = self.shards.get(&snapshot.shard);
        // A node that has shown a revision never goes back to an older one.
        if shown.is_some_and(|shown| place < shown.place) {
            return ViewOutcome::Stale;
        }
        let mut shard = ShardItems {
            place,
            items: BTreeMap::new(),
        };
        apply_items(&mut shard.items, snapshot.items);
        self.shards.insert(snapshot.shard, shard);
        ViewOutcome::Changed
    }

    /// Applies a change that follows on what is shown, or that amends it at its own offset.
    pub fn apply_change(&mut self, change: StateChange) -> ViewOutcome {
        let Some(shown) = self.shards.get_mut(&change.shard) else {
            return ViewOutcome::Gap;
        };
        let place = Place {
            term: change.term,
            offset: change.offset,
        };
        let amends = change.previous_offset == change.offset;
        if place < shown.place || (place == shown.place && !amends) {
            return ViewOutcome::Stale;
        }
        if shown.place.offset < change.previous_offset {
            return ViewOutcome::Gap;
        }
        apply_items(&mut shown.items, change.items);
        shown.place = place;
        ViewOutcome::Changed
    }

    /// The routing table for what is shown.
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

/// Whether a placement comes from a role that has since been taken over.
fn is_fenced(shown: Option<&StateValue>, value: &StateValue) -> bool {
    let epoch = |value: &StateValue| match &value.kind {
        Some(Kind::Placement(placement)) => Some(placement.epoch),
        _ => None,
    };
    epoch(value) < shown.and_then(epoch)
}
