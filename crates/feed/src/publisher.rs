//! Sending side of a shard's feed.

use std::collections::BTreeMap;

use bytes::Bytes;
use millford_api::internal::{
    FeedMessage, FeedProgress, FeedStale, StateChange, StateSnapshot, Subscribe, feed_message,
};
use millford_api::state::{StateItem, StateValue};
use millford_core::ShardId;
use prost::Message;

use crate::change_ring::ChangeRing;
use crate::delivery::{FeedDelivery, SubscriberId};
use crate::position::FeedPosition;
use crate::shard_state::ShardState;
use crate::subscriber_state::SubscriberState;
use crate::term_history::TermHistory;

/// Turns the applied entries of one shard's replica into messages for its subscribers.
///
/// The owner must pass committed entries only. It must serve a [`Subscribe`] only while the replica has a
/// quorum and has applied everything that was committed when the subscription arrived (a confirmed
/// read). The publisher checks neither.
#[derive(Clone, Debug)]
pub struct FeedPublisher {
    state: ShardState,
    recent: ChangeRing,
    terms: TermHistory,
    subscribers: BTreeMap<SubscriberId, SubscriberState>,
    /// The last encoded snapshot. `None` if the items have changed since.
    encoded: Option<EncodedSnapshot>,
}

/// An encoded snapshot and its position.
#[derive(Clone, Debug)]
struct EncodedSnapshot {
    position: FeedPosition,
    bytes: Bytes,
}

impl FeedPublisher {
    /// Creates a publisher of an empty shard.
    #[must_use]
    pub fn new(shard: ShardId) -> Self {
        Self {
            state: ShardState::new(shard),
            recent: ChangeRing::default(),
            terms: TermHistory::starting_at(FeedPosition::START),
            subscribers: BTreeMap::new(),
            encoded: None,
        }
    }

    /// Returns the position of the last applied entry.
    #[must_use]
    pub fn position(&self) -> FeedPosition {
        self.state.position()
    }

    /// Returns the items of the public state at [`Self::position`].
    #[must_use]
    pub fn items(&self) -> &BTreeMap<String, StateValue> {
        self.state.items()
    }

    /// Replaces the public state after the replica restored a snapshot at `position`.
    ///
    /// Every subscriber that is not ahead of `position` gets the complete new state.
    pub fn restore(
        &mut self,
        position: FeedPosition,
        items: impl IntoIterator<Item = StateItem>,
    ) -> Vec<FeedDelivery> {
        self.state.set_position(position);
        self.state.replace(items);
        self.recent = ChangeRing::starting_at(position.offset);
        self.terms = TermHistory::starting_at(position);
        self.encoded = None;
        let snapshot = self.snapshot_message(position);
        let mut deliveries = self.deliver(&snapshot);
        deliveries.append(&mut self.catch_up_reached());
        deliveries
    }

    /// Publishes the entry applied at `position` with the items that it changed, which may be none.
    ///
    /// Must be called for every applied entry, in order. An entry at or before the current position, as
    /// delivered again after a restart, is ignored.
    pub fn apply(&mut self, position: FeedPosition, changed: Vec<StateItem>) -> Vec<FeedDelivery> {
        if position.offset <= self.position().offset {
            return Vec::new();
        }
        self.state.set_position(position);
        self.terms.record(position);
        if changed.is_empty() {
            return self.catch_up_reached();
        }
        for item in &changed {
            self.state.set(item);
        }
        self.encoded = None;
        let change = StateChange {
            previous_offset: self.recent.last_offset(),
            term: position.term,
            offset: position.offset,
            items: changed,
            shard: self.state.shard().0,
        };
        self.recent.push(change.clone());
        self.terms.trim(self.recent.floor());
        let message = self.message(feed_message::Kind::Change(change));
        let mut deliveries = self.deliver(&message);
        deliveries.append(&mut self.catch_up_reached());
        deliveries
    }

    /// Adds a subscriber, or updates its position, and returns the messages that bring it up to date.
    ///
    /// A subscriber that is ahead of this replica gets nothing until the replica has caught up, because an
    /// older state must never be sent.
    pub fn subscribe(
        &mut self,
        subscriber: SubscriberId,
        subscribe: &Subscribe,
    ) -> Vec<FeedMessage> {
        let from = FeedPosition::from(subscribe);
        if from > self.position() {
            self.subscribers
                .insert(subscriber, SubscriberState::Ahead(from));
            return Vec::new();
        }
        self.subscribers
            .insert(subscriber, SubscriberState::Following);
        self.catch_up(from)
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&mut self, subscriber: SubscriberId) {
        self.subscribers.remove(&subscriber);
    }

    /// Returns messages that confirm the current position to every subscriber that is not ahead of it.
    ///
    /// Must be called only while the replica has a quorum.
    #[must_use]
    pub fn progress(&self) -> Vec<FeedDelivery> {
        self.deliver(&self.progress_message())
    }

    /// Removes all subscribers and returns messages that notify them that the quorum is lost.
    pub fn notify_stale(&mut self) -> Vec<FeedDelivery> {
        let message = self.message(feed_message::Kind::Stale(FeedStale {}));
        let subscribers = std::mem::take(&mut self.subscribers);
        subscribers
            .into_keys()
            .map(|subscriber| FeedDelivery {
                subscriber,
                message: message.clone(),
            })
            .collect()
    }

    /// Returns the complete public state.
    #[must_use]
    pub fn state(&self) -> StateSnapshot {
        self.state.snapshot()
    }

    fn catch_up(&mut self, from: FeedPosition) -> Vec<FeedMessage> {
        // A subscriber without any state gets a snapshot. With single changes it would apply older
        // revisions first, which a restarted node must never do.
        let has_state = from != FeedPosition::START || self.position() == FeedPosition::START;
        let known = has_state && self.terms.contains(from);
        let changes = self.changes_after(from.offset).filter(|_| known);
        let Some(mut messages) = changes else {
            return self.snapshot_messages(from);
        };
        messages.push(self.progress_message());
        messages
    }

    /// Returns a snapshot, followed by a progress message if the snapshot was encoded at an earlier
    /// position.
    fn snapshot_messages(&mut self, from: FeedPosition) -> Vec<FeedMessage> {
        let mut messages = vec![self.snapshot_message(from)];
        let encoded_at = self.encoded.as_ref().map(|encoded| encoded.position);
        if encoded_at != Some(self.position()) {
            messages.push(self.progress_message());
        }
        messages
    }

    /// Returns the changes after `offset`, if they are all retained and have no more items than a
    /// snapshot.
    fn changes_after(&self, offset: u64) -> Option<Vec<FeedMessage>> {
        let changes: Vec<&StateChange> = self.recent.after(offset)?.collect();
        let items: usize = changes.iter().map(|change| change.items.len()).sum();
        if items > self.items().len() {
            return None;
        }
        let kinds = changes
            .into_iter()
            .map(|change| feed_message::Kind::Change(change.clone()));
        Some(kinds.map(|kind| self.message(kind)).collect())
    }

    /// Returns messages for the subscribers that were ahead of this replica and whose position it has now
    /// reached.
    fn catch_up_reached(&mut self) -> Vec<FeedDelivery> {
        let position = self.position();
        let subscribers = self.subscribers.iter();
        let reached: Vec<(SubscriberId, FeedPosition)> = subscribers
            .filter_map(|(subscriber, state)| Some((*subscriber, state.reached(position)?)))
            .collect();
        let mut deliveries = Vec::new();
        for (subscriber, from) in reached {
            self.subscribers
                .insert(subscriber, SubscriberState::Following);
            let messages = self.catch_up(from);
            deliveries.extend(messages.into_iter().map(|message| FeedDelivery {
                subscriber,
                message,
            }));
        }
        deliveries
    }

    fn deliver(&self, message: &FeedMessage) -> Vec<FeedDelivery> {
        self.subscribers
            .iter()
            .filter(|(_, state)| **state == SubscriberState::Following)
            .map(|(subscriber, _)| FeedDelivery {
                subscriber: *subscriber,
                message: message.clone(),
            })
            .collect()
    }

    /// Returns the complete state, which is encoded once for all subscribers. Encoding it for each of them
    /// would delay the heartbeats of the replica's thread when many nodes start at once.
    ///
    /// An encoded snapshot is reused after entries without public changes, unless it is older than
    /// `from`; the progress message that follows it advances the view to the current position.
    fn snapshot_message(&mut self, from: FeedPosition) -> FeedMessage {
        let reusable = self.encoded.take();
        let encoded = reusable
            .filter(|encoded| encoded.position >= from)
            .unwrap_or_else(|| EncodedSnapshot {
                position: self.position(),
                bytes: Bytes::from(self.state().encode_to_vec()),
            });
        let bytes = encoded.bytes.clone();
        self.encoded = Some(encoded);
        self.message(feed_message::Kind::PackedSnapshot(bytes))
    }

    fn progress_message(&self) -> FeedMessage {
        let position = self.position();
        self.message(feed_message::Kind::Progress(FeedProgress {
            term: position.term,
            offset: position.offset,
            last_change_offset: self.recent.last_offset(),
        }))
    }

    fn message(&self, kind: feed_message::Kind) -> FeedMessage {
        FeedMessage {
            shard: self.state.shard().0,
            kind: Some(kind),
        }
    }
}
