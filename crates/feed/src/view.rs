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
use crate::shard_state::ShardState;

/// A copy of one shard's public state that never reverts to an older state.
#[derive(Clone, Debug)]
pub struct FeedView {
    state: ShardState,
}

impl FeedView {
    /// Creates an empty view of a shard.
    #[must_use]
    pub fn new(shard: ShardId) -> Self {
        Self {
            state: ShardState::new(shard),
        }
    }

    /// Returns the shard of the view.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.state.shard()
    }

    /// Returns the position of the applied state.
    #[must_use]
    pub fn position(&self) -> FeedPosition {
        self.state.position()
    }

    /// Returns the items of the applied state.
    #[must_use]
    pub fn items(&self) -> &BTreeMap<String, StateValue> {
        self.state.items()
    }

    /// Returns the request to subscribe to the feed from the current position.
    #[must_use]
    pub fn subscribe(&self) -> Subscribe {
        let position = self.position();
        Subscribe {
            shard: self.shard().0,
            term: position.term,
            offset: position.offset,
        }
    }

    /// Returns the complete applied state, for a consumer without any state.
    #[must_use]
    pub fn snapshot(&self) -> StateSnapshot {
        self.state.snapshot()
    }

    /// Applies a message of the feed. Messages of another shard are ignored as stale.
    pub fn apply(&mut self, message: FeedMessage) -> FeedOutcome {
        if message.shard != self.shard().0 {
            return FeedOutcome::Stale;
        }
        match message.kind {
            Some(feed_message::Kind::Snapshot(snapshot)) => self.apply_snapshot(snapshot),
            Some(feed_message::Kind::PackedSnapshot(encoded)) => self.apply_encoded(&encoded),
            Some(feed_message::Kind::Change(change)) => self.apply_change(change),
            Some(feed_message::Kind::Progress(progress)) => self.apply_progress(&progress),
            Some(feed_message::Kind::Stale(_)) | None => FeedOutcome::Stale,
        }
    }

    /// Applies an encoded snapshot. One that cannot be decoded is treated like a lost message.
    fn apply_encoded(&mut self, encoded: &[u8]) -> FeedOutcome {
        match StateSnapshot::decode(encoded) {
            Ok(snapshot) if snapshot.shard == self.shard().0 => self.apply_snapshot(snapshot),
            _ => FeedOutcome::Resubscribe,
        }
    }

    /// Applies a snapshot unless it is older than the view. A snapshot at the same position is applied,
    /// since it can differ only by amendments of the agent.
    pub fn apply_snapshot(&mut self, snapshot: StateSnapshot) -> FeedOutcome {
        let position = FeedPosition::from(&snapshot);
        if position < self.position() {
            return FeedOutcome::Stale;
        }
        self.state.set_position(position);
        FeedOutcome::from_changed(self.state.replace(snapshot.items))
    }

    /// Applies the next change, or an amendment of the agent: a change at the current position whose
    /// previous offset equals its own.
    pub fn apply_change(&mut self, change: StateChange) -> FeedOutcome {
        let position = FeedPosition::from(&change);
        if position < self.position() {
            return FeedOutcome::Stale;
        }
        if position == self.position() {
            return self.apply_amendment(change);
        }
        // Safety: the view includes every change at or before its offset, and this change is the only one
        // after `previous_offset` up to its own offset. So no change is skipped if and only if the view
        // has reached `previous_offset`. An offset that does not increase with a larger term comes from a
        // forced recovery, after which only a snapshot can be applied.
        let contiguous = change.previous_offset <= self.position().offset;
        let forward = change.offset > self.position().offset;
        if !contiguous || !forward {
            return FeedOutcome::Resubscribe;
        }
        self.state.set_position(position);
        self.merge(change.items)
    }

    fn apply_amendment(&mut self, change: StateChange) -> FeedOutcome {
        if change.previous_offset != change.offset {
            return FeedOutcome::Unchanged;
        }
        self.merge(change.items)
    }

    fn apply_progress(&mut self, progress: &FeedProgress) -> FeedOutcome {
        let position = FeedPosition::from(progress);
        if position < self.position() {
            return FeedOutcome::Stale;
        }
        let complete = progress.last_change_offset <= self.position().offset;
        let forward = progress.offset >= self.position().offset;
        if !complete || !forward {
            return FeedOutcome::Resubscribe;
        }
        self.state.set_position(position);
        FeedOutcome::Unchanged
    }

    fn merge(&mut self, mut items: Vec<StateItem>) -> FeedOutcome {
        items.retain(|item| self.state.set(item));
        FeedOutcome::from_changed(items)
    }
}
