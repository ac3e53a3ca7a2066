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

/// A copy of one shard's public state that never steps back.
#[derive(Clone, Debug)]
pub struct FeedView {
    state: ShardState,
}

impl FeedView {
    /// An empty view of a shard.
    #[must_use]
    pub fn new(shard: ShardId) -> Self {
        Self {
            state: ShardState::new(shard),
        }
    }

    /// The shard that the view follows.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.state.shard()
    }

    /// Position of the applied state.
    #[must_use]
    pub fn position(&self) -> FeedPosition {
        self.state.position()
    }

    /// The applied state.
    #[must_use]
    pub fn items(&self) -> &BTreeMap<String, StateValue> {
        self.state.items()
    }

    /// The request for the feed from the present position.
    #[must_use]
    pub fn subscribe(&self) -> Subscribe {
        let position = self.position();
        Subscribe {
            shard: self.shard().0,
            term: position.term,
            offset: position.offset,
        }
    }

    /// The complete applied state, for a consumer that starts anew.
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

    /// Applies a snapshot. An older one is refused; one at the same position is applied, as it can
    /// only differ by amendments of the agent.
    pub fn apply_snapshot(&mut self, snapshot: StateSnapshot) -> FeedOutcome {
        let position = FeedPosition::from(&snapshot);
        if position < self.position() {
            return FeedOutcome::Stale;
        }
        self.state.set_position(position);
        FeedOutcome::from_changed(self.state.replace(snapshot.items))
    }

    /// Applies the next change. A change at the present offset with itself as the previous one is
    /// an amendment of the agent and is applied as well.
    pub fn apply_change(&mut self, change: StateChange) -> FeedOutcome {
        let position = FeedPosition::from(&change);
        if position < self.position() {
            return FeedOutcome::Stale;
        }
        if position == self.position() {
            return self.apply_amendment(change);
        }
        // Safety: every change at or before the view's offset is in the view, and the change is the
        // only one after `previous_offset` up to its own offset. So nothing is left out exactly if
        // the view has reached `previous_offset`. An offset that does not grow under a larger term
        // comes from a forced recovery: only a snapshot can follow it.
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
