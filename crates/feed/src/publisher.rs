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
use crate::follower::Follower;
use crate::position::FeedPosition;
use crate::state_snapshot::state_snapshot;
use crate::term_history::TermHistory;

/// Turns the applied entries of one shard's replica into messages for its subscribers.
///
/// The owner calls it for committed entries only and serves a [`Subscribe`] only while the replica
/// is in touch with a quorum and has applied everything that was committed when the subscription
/// came in (a confirmed read). The publisher itself judges neither.
#[derive(Clone, Debug)]
pub struct FeedPublisher {
    shard: ShardId,
    position: FeedPosition,
    items: BTreeMap<String, StateValue>,
    recent: ChangeRing,
    terms: TermHistory,
    subscribers: BTreeMap<SubscriberId, Follower>,
    /// The whole state as last encoded, and the position that it holds.
    packed: Option<(FeedPosition, Bytes)>,
}

impl FeedPublisher {
    /// A publisher of an empty shard.
    #[must_use]
    pub fn new(shard: ShardId) -> Self {
        Self {
            shard,
            position: FeedPosition::START,
            items: BTreeMap::new(),
            recent: ChangeRing::default(),
            terms: TermHistory::starting_at(FeedPosition::START),
            subscribers: BTreeMap::new(),
            packed: None,
        }
    }

    /// Position of the last applied entry.
    #[must_use]
    pub fn position(&self) -> FeedPosition {
        self.position
    }

    /// The public state at [`Self::position`].
    #[must_use]
    pub fn items(&self) -> &BTreeMap<String, StateValue> {
        &self.items
    }

    /// The present subscribers.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberId> {
        self.subscribers.keys().copied()
    }

    /// Takes over the whole public state after the replica restored a snapshot at `position`.
    ///
    /// Every subscriber gets the new state whole.
    pub fn restore(
        &mut self,
        position: FeedPosition,
        items: impl IntoIterator<Item = StateItem>,
    ) -> Vec<FeedDelivery> {
        self.position = position;
        self.items.clear();
        self.store(items);
        self.recent = ChangeRing::starting_at(position.offset);
        self.terms = TermHistory::starting_at(position);
        self.packed = None;
        let snapshot = self.snapshot(position);
        let mut deliveries = self.deliver(&snapshot);
        deliveries.append(&mut self.release_waiting());
        deliveries
    }

    /// Takes the entry applied at `position` and the items that it changed, often none.
    ///
    /// To be called for every applied entry, in order. An entry at or before the present position
    /// (delivered again after a restart) is ignored.
    pub fn apply(&mut self, position: FeedPosition, changed: Vec<StateItem>) -> Vec<FeedDelivery> {
        if position.offset <= self.position.offset {
            return Vec::new();
        }
        self.position = position;
        self.terms.record(position);
        if changed.is_empty() {
            return self.release_waiting();
        }
        let change = StateChange {
            previous_offset: self.recent.last_offset(),
            term: position.term,
            offset: position.offset,
            items: changed.clone(),
            shard: self.shard.0,
        };
        self.store(changed);
        self.packed = None;
        self.recent.push(change.clone());
        self.terms.trim(self.recent.floor());
        let message = self.message(feed_message::Kind::Change(change));
        let mut deliveries = self.deliver(&message);
        deliveries.append(&mut self.release_waiting());
        deliveries
    }

    /// Adds a subscriber, or moves it, and returns what brings it up to date.
    ///
    /// A subscriber that has shown more than this replica applied gets nothing until the replica
    /// has caught up: an older state is never sent.
    pub fn subscribe(
        &mut self,
        subscriber: SubscriberId,
        subscribe: &Subscribe,
    ) -> Vec<FeedMessage> {
        let from = FeedPosition::from(subscribe);
        if from > self.position {
            self.subscribers.insert(subscriber, Follower::Waiting(from));
            return Vec::new();
        }
        self.subscribers.insert(subscriber, Follower::Following);
        self.catch_up(from)
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&mut self, subscriber: SubscriberId) {
        self.subscribers.remove(&subscriber);
    }

    /// Confirms the present position to every subscriber that is not ahead of it.
    ///
    /// To be called only while in touch with a quorum.
    #[must_use]
    pub fn progress(&self) -> Vec<FeedDelivery> {
        self.deliver(&self.progress_message())
    }

    /// Tells every subscriber that the quorum is lost, and forgets them.
    pub fn stale(&mut self) -> Vec<FeedDelivery> {
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

    /// The whole public state.
    #[must_use]
    pub fn state(&self) -> StateSnapshot {
        state_snapshot(self.shard, self.position, &self.items)
    }

    fn catch_up(&mut self, from: FeedPosition) -> Vec<FeedMessage> {
        // A subscriber that holds nothing gets the state whole: taken change by change it would
        // pass through older revisions, which a restarted node must never show.
        let holds_something = from != FeedPosition::START || self.position == FeedPosition::START;
        let known = holds_something && self.terms.contains(from);
        let changes = self.changes_after(from.offset).filter(|_| known);
        let Some(mut messages) = changes else {
            return self.whole_state(from);
        };
        messages.push(self.progress_message());
        messages
    }

    /// The whole state, and a progress message when it was encoded some entries ago.
    fn whole_state(&mut self, from: FeedPosition) -> Vec<FeedMessage> {
        let mut messages = vec![self.snapshot(from)];
        let packed_at = self.packed.as_ref().map(|(position, _)| *position);
        if packed_at != Some(self.position) {
            messages.push(self.progress_message());
        }
        messages
    }

    /// The changes after `offset`, if they are known and smaller than the whole state.
    fn changes_after(&self, offset: u64) -> Option<Vec<FeedMessage>> {
        let changes: Vec<&StateChange> = self.recent.after(offset)?.collect();
        let items: usize = changes.iter().map(|change| change.items.len()).sum();
        if items > self.items.len() {
            return None;
        }
        let kinds = changes
            .into_iter()
            .map(|change| feed_message::Kind::Change(change.clone()));
        Some(kinds.map(|kind| self.message(kind)).collect())
    }

    /// Brings up to date the subscribers that were ahead of this replica until now.
    fn release_waiting(&mut self) -> Vec<FeedDelivery> {
        let position = self.position;
        let waiting = self.subscribers.iter();
        let released: Vec<(SubscriberId, FeedPosition)> = waiting
            .filter_map(|(subscriber, state)| Some((*subscriber, state.reached(position)?)))
            .collect();
        let mut deliveries = Vec::new();
        for (subscriber, from) in released {
            self.subscribers.insert(subscriber, Follower::Following);
            let messages = self.catch_up(from);
            deliveries.extend(messages.into_iter().map(|message| FeedDelivery {
                subscriber,
                message,
            }));
        }
        deliveries
    }

    fn deliver(&self, message: &FeedMessage) -> Vec<FeedDelivery> {
        let present = self.subscribers.iter();
        present
            .filter(|(_, state)| **state == Follower::Following)
            .map(|(subscriber, _)| FeedDelivery {
                subscriber: *subscriber,
                message: message.clone(),
            })
            .collect()
    }

    fn store(&mut self, items: impl IntoIterator<Item = StateItem>) {
        for item in items {
            match item.value {
                Some(value) => self.items.insert(item.key, value),
                None => self.items.remove(&item.key),
            };
        }
    }

    /// The whole state, encoded once for however many subscribers: encoding it for each would keep
    /// the replica's thread from its heartbeats when many nodes start at once.
    ///
    /// Entries that change nothing public leave the encoded state as it is; the progress message
    /// that follows brings a view on from its position. It must not be older than `from`.
    fn snapshot(&mut self, from: FeedPosition) -> FeedMessage {
        let reusable = self.packed.take().filter(|(position, _)| *position >= from);
        let (position, packed) = reusable.unwrap_or_else(|| {
            let packed = Bytes::from(self.state().encode_to_vec());
            (self.position, packed)
        });
        self.packed = Some((position, packed.clone()));
        self.message(feed_message::Kind::PackedSnapshot(packed))
    }

    fn progress_message(&self) -> FeedMessage {
        self.message(feed_message::Kind::Progress(FeedProgress {
            term: self.position.term,
            offset: self.position.offset,
            last_change_offset: self.recent.last_offset(),
        }))
    }

    fn message(&self, kind: feed_message::Kind) -> FeedMessage {
        FeedMessage {
            shard: self.shard.0,
            kind: Some(kind),
        }
    }
}
