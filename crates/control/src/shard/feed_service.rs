//! Feeds of the agents that this node serves.

use millford_api::internal::{FeedMessage, FeedStale, Subscribe, feed_message};
use millford_api::state::StateItem;
use millford_core::{Duration, MonotonicTime, ShardId};
use millford_feed::{FeedDelivery, FeedPosition, FeedPublisher};

use super::output::ShardOutput;
use super::subscriptions::{DueSubscription, Subscriptions};
use crate::link::LinkId;
use crate::timing::QUORUM_CONTACT_TIMEOUT;

/// Longest time for a replica to apply what the leader confirmed before agents go elsewhere.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// What is to be done for a subscription that still waits for its read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubscriptionStep {
    /// Its read is confirmed, and this replica is about to catch up.
    Wait,
    /// Start its read again.
    ConfirmAgain,
    /// It waited too long: the agent goes to another node.
    Refuse,
}

/// Owner of the feed's history, its subscribers and the subscriptions that are not served yet.
pub(super) struct FeedService {
    shard: ShardId,
    publisher: FeedPublisher,
    subscriptions: Subscriptions,
}

impl FeedService {
    /// A feed without history or subscribers.
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            publisher: FeedPublisher::new(shard),
            subscriptions: Subscriptions::default(),
        }
    }

    /// The state is built again from nothing: subscribers and history are dropped.
    pub(super) fn reset(&mut self) {
        self.publisher = FeedPublisher::new(self.shard);
    }

    /// The state was replaced by a snapshot.
    pub(super) fn restore(
        &mut self,
        position: FeedPosition,
        items: Vec<StateItem>,
    ) -> Vec<ShardOutput> {
        to_outputs(self.publisher.restore(position, items))
    }

    /// An entry was applied that changed these items.
    pub(super) fn apply(
        &mut self,
        position: FeedPosition,
        changes: Vec<StateItem>,
    ) -> Vec<ShardOutput> {
        to_outputs(self.publisher.apply(position, changes))
    }

    /// Confirms the present position to every subscriber.
    pub(super) fn progress(&self) -> Vec<ShardOutput> {
        to_outputs(self.publisher.progress())
    }

    /// The state may be old from now on: every subscriber goes elsewhere.
    pub(super) fn end_as_stale(&mut self) -> Vec<ShardOutput> {
        to_outputs(self.publisher.notify_stale())
    }

    /// An agent subscribes; its feed opens once its read is confirmed and applied.
    pub(super) fn request(&mut self, now: MonotonicTime, subscriber: LinkId, subscribe: Subscribe) {
        self.subscriptions.insert(now, subscriber, subscribe);
    }

    /// The open feed of an agent ends, because it subscribes again or is disconnected.
    pub(super) fn close(&mut self, subscriber: LinkId) {
        self.publisher.unsubscribe(subscriber.0);
    }

    /// An agent is disconnected: its subscription is not served any more.
    pub(super) fn withdraw(&mut self, subscriber: LinkId) {
        self.subscriptions.remove(subscriber);
    }

    /// The read of a subscription failed; it is due again soon.
    pub(super) fn read_failed(&mut self, now: MonotonicTime, subscriber: LinkId) {
        self.subscriptions.failed(now, subscriber);
    }

    /// The confirmed read is applied: the agent gets what it lacks, then every change.
    pub(super) fn open(&mut self, subscriber: LinkId) -> Vec<ShardOutput> {
        let Some(subscribe) = self.subscriptions.remove(subscriber) else {
            return Vec::new();
        };
        let messages = self.publisher.subscribe(subscriber.0, &subscribe);
        let feeds = messages.into_iter().map(|message| ShardOutput::Feed {
            subscriber,
            message,
        });
        feeds.collect()
    }

    /// The subscriptions that are to be looked at again.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> Vec<DueSubscription> {
        self.subscriptions.take_due(now)
    }

    /// Ends a subscription that waited too long.
    pub(super) fn refuse(&mut self, subscriber: LinkId) -> ShardOutput {
        self.subscriptions.remove(subscriber);
        ShardOutput::Feed {
            subscriber,
            message: FeedMessage {
                shard: self.shard.0,
                kind: Some(feed_message::Kind::Stale(FeedStale {})),
            },
        }
    }
}

impl DueSubscription {
    /// What is to be done for the subscription, whose read may be confirmed already.
    pub(super) fn step(&self, read_confirmed: bool) -> SubscriptionStep {
        if read_confirmed && self.waited < CATCH_UP_TIMEOUT {
            return SubscriptionStep::Wait;
        }
        if self.waited < QUORUM_CONTACT_TIMEOUT {
            return SubscriptionStep::ConfirmAgain;
        }
        SubscriptionStep::Refuse
    }
}

fn to_outputs(deliveries: Vec<FeedDelivery>) -> Vec<ShardOutput> {
    let feeds = deliveries.into_iter().map(|delivery| ShardOutput::Feed {
        subscriber: LinkId(delivery.subscriber),
        message: delivery.message,
    });
    feeds.collect()
}
