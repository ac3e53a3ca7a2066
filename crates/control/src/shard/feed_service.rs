//! Feed subscriptions of the agents that are connected to this node.

use millford_api::internal::{FeedMessage, FeedStale, Subscribe, feed_message};
use millford_api::state::StateItem;
use millford_core::{Duration, MonotonicTime, ShardId};
use millford_feed::{FeedDelivery, FeedPosition, FeedPublisher};

use super::output::ShardOutput;
use super::subscriptions::{DueSubscription, Subscriptions};
use crate::link::LinkId;
use crate::timing::QUORUM_CONTACT_TIMEOUT;

/// Longest time that a subscription waits for this replica to apply the confirmed index.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// The next step for a subscription that still waits for its read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubscriptionStep {
    /// Keep waiting: the read is confirmed, and this replica is catching up.
    Wait,
    /// Restart the read.
    ConfirmAgain,
    /// End the subscription, which waited too long, so that the agent connects to another node.
    Refuse,
}

/// Owns the feed's history, its subscribers and the subscriptions that are not served yet.
pub(super) struct FeedService {
    shard: ShardId,
    publisher: FeedPublisher,
    subscriptions: Subscriptions,
}

impl FeedService {
    /// Creates a feed without history or subscribers.
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            publisher: FeedPublisher::new(shard),
            subscriptions: Subscriptions::default(),
        }
    }

    /// Drops history and subscribers, because the state is rebuilt from the beginning.
    pub(super) fn reset(&mut self) {
        self.publisher = FeedPublisher::new(self.shard);
    }

    /// Sends the items of a restored snapshot to the subscribers.
    pub(super) fn restore(
        &mut self,
        position: FeedPosition,
        items: Vec<StateItem>,
    ) -> Vec<ShardOutput> {
        to_outputs(self.publisher.restore(position, items))
    }

    /// Sends the changes of an applied entry to the subscribers.
    pub(super) fn apply(
        &mut self,
        position: FeedPosition,
        changes: Vec<StateItem>,
    ) -> Vec<ShardOutput> {
        to_outputs(self.publisher.apply(position, changes))
    }

    /// Sends the current feed position to every subscriber.
    pub(super) fn progress(&self) -> Vec<ShardOutput> {
        to_outputs(self.publisher.progress())
    }

    /// Ends every feed as stale, because this replica may fall behind; the agents connect to
    /// another node.
    pub(super) fn end_as_stale(&mut self) -> Vec<ShardOutput> {
        to_outputs(self.publisher.notify_stale())
    }

    /// Records an agent's subscription; its feed opens once its read is confirmed and applied.
    pub(super) fn request(&mut self, now: MonotonicTime, subscriber: LinkId, subscribe: Subscribe) {
        self.subscriptions.insert(now, subscriber, subscribe);
    }

    /// Closes the open feed of an agent that subscribes again or has disconnected.
    pub(super) fn close(&mut self, subscriber: LinkId) {
        self.publisher.unsubscribe(subscriber.0);
    }

    /// Drops the waiting subscription of an agent that has disconnected.
    pub(super) fn withdraw(&mut self, subscriber: LinkId) {
        self.subscriptions.remove(subscriber);
    }

    /// Schedules a retry for a subscription whose read failed.
    pub(super) fn read_failed(&mut self, now: MonotonicTime, subscriber: LinkId) {
        self.subscriptions.failed(now, subscriber);
    }

    /// Opens the feed of an agent whose confirmed read is applied: the agent first receives the
    /// changes that it lacks, then every later one.
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

    /// Takes the waiting subscriptions whose retry time has come.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> Vec<DueSubscription> {
        self.subscriptions.take_due(now)
    }

    /// Refuses a subscription that waited too long.
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
    /// Decides the next step. `read_confirmed` is whether the leader has confirmed the read.
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
