//! Receiving side of a shard's feed.

use std::collections::BTreeMap;

use millford_api::internal::{
    FeedMessage, FeedProgress, StateChange, StateSnapshot, Subscribe, feed_message,
};
use millford_api::state::{StateItem, StateValue};
use millford_core::ShardId;
use prost::Message;

use crate::outcome::FeedOutcome;
use crate::position::FeedPosition;
use crate::state_snapshot::state_snapshot;

/// A copy of one shard's public state that never steps back.
#[derive(Clone, Debug)]
pub struct FeedView {
    shard: ShardId,
    position: FeedPosition,
    items: BTreeMap<String, StateValue>,
}

impl FeedView {
    /// An empty view of a shard.
    #[must_use]
    pub fn new(shard: ShardId) -> Self {
        Self {
            shard,
            position: FeedPosition::START,
            items: BTreeMap::new(),
        }
    }

    /// The shard that the view follows.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// Position of the state shown.
    #[must_use]
    pub fn position(&self) -> FeedPosition {
        self.position
    }

    /// The state shown.
    #[must_use]
    pub fn items(&self) -> &BTreeMap<String, StateValue> {
        &self.items
    }

    /// Asks for the feed from the present position.
    #[must_use]
    pub fn subscribe(&self) -> Subscribe {
        Subscribe {
            shard: self.shard.0,
            term: self.position.term,
            offset: self.position.offset,
        }
    }

    /// The state shown, whole, for a consumer that starts anew.
    #[must_use]
    pub fn snapshot(&self) -> StateSnapshot {
        state_snapshot(self.shard, self.position, &self.items)
    }

    /// Takes a message of the feed. Messages of another shard are ignored as stale.
    pub fn apply(&mut self, message: FeedMessage) -> FeedOutcome {
        if message.shard != self.shard.0 {
            return FeedOutcome::Stale;
        }
        match message.kind {
            Some(feed_message::Kind::Snapshot(snapshot)) => self.apply_snapshot(snapshot),
            Some(feed_message::Kind::PackedSnapshot(packed)) => self.apply_packed(&packed),
            Some(feed_message::Kind::Change(change)) => self.apply_change(change),
            Some(feed_message::Kind::Progress(progress)) => self.apply_progress(&progress),
            Some(feed_message::Kind::Stale(_)) | None => FeedOutcome::Stale,
        }
    }

    /// Takes a whole state as bytes. One that cannot be read is treated like a lost message.
    fn apply_packed(&mut self, packed: &[u8]) -> FeedOutcome {
        match StateSnapshot::decode(packed) {
            Ok(snapshot) if snapshot.shard == self.shard.0 => self.apply_snapshot(snapshot),
            _ => FeedOutcome::Resubscribe,
        }
    }

    /// Takes a whole state. An older one is refused; one at the same position is taken, as it can
    /// only differ by amendments of the agent.
    pub fn apply_snapshot(&mut self, snapshot: StateSnapshot) -> FeedOutcome {
        let position = FeedPosition::from(&snapshot);
        if position < self.position {
            return FeedOutcome::Stale;
        }
        self.position = position;
        let changed = self.replace(snapshot.items);
        outcome_of(changed)
    }

    /// Takes the next change. A change at the present offset with itself as the previous one is an
    /// amendment of the agent and is taken as well.
    pub fn apply_change(&mut self, change: StateChange) -> FeedOutcome {
        let position = FeedPosition::from(&change);
        if position < self.position {
            return FeedOutcome::Stale;
        }
        if position == self.position {
            return self.apply_amendment(change);
        }
        // Safety: every change at or before the view's offset is in the view, and the change is the
        // only one after `previous_offset` up to its own offset. So nothing is left out exactly if
        // the view has reached `previous_offset`. An offset that does not grow under a larger term
        // comes from a forced recovery: only a whole state can follow it.
        let contiguous = change.previous_offset <= self.position.offset;
        let forward = change.offset > self.position.offset;
        if !contiguous || !forward {
            return FeedOutcome::Resubscribe;
        }
        self.position = position;
        let changed = self.merge(change.items);
        outcome_of(changed)
    }

    fn apply_amendment(&mut self, change: StateChange) -> FeedOutcome {
        if change.previous_offset != change.offset {
            return FeedOutcome::Unchanged;
        }
        let changed = self.merge(change.items);
        outcome_of(changed)
    }

    fn apply_progress(&mut self, progress: &FeedProgress) -> FeedOutcome {
        let position = FeedPosition::from(progress);
        if position < self.position {
            return FeedOutcome::Stale;
        }
        let complete = progress.last_change_offset <= self.position.offset;
        let forward = progress.offset >= self.position.offset;
        if !complete || !forward {
            return FeedOutcome::Resubscribe;
        }
        self.position = position;
        FeedOutcome::Unchanged
    }

    fn replace(&mut self, items: Vec<StateItem>) -> Vec<StateItem> {
        let mut former = std::mem::take(&mut self.items);
        let mut changed = Vec::new();
        for item in items {
            let Some(value) = item.value else { continue };
            if former.remove(&item.key).as_ref() != Some(&value) {
                changed.push(StateItem {
                    key: item.key.clone(),
                    value: Some(value.clone()),
                });
            }
            self.items.insert(item.key, value);
        }
        let deleted = former.into_keys();
        changed.extend(deleted.map(|key| StateItem { key, value: None }));
        changed
    }

    fn merge(&mut self, items: Vec<StateItem>) -> Vec<StateItem> {
        let mut changed = Vec::with_capacity(items.len());
        for item in items {
            if self.items.get(&item.key) == item.value.as_ref() {
                continue;
            }
            match &item.value {
                Some(value) => self.items.insert(item.key.clone(), value.clone()),
                None => self.items.remove(&item.key),
            };
            changed.push(item);
        }
        changed
    }
}

fn outcome_of(changed: Vec<StateItem>) -> FeedOutcome {
    if changed.is_empty() {
        FeedOutcome::Unchanged
    } else {
        FeedOutcome::Changed(changed)
    }
}
