//! Feeds of the agents that this node serves.

use millford_api::internal::{FeedMessage, FeedStale, Subscribe, feed_message};
use millford_core::{Duration, MonotonicTime};

use super::core::ShardCore;
use super::output::ShardOutput;
use super::reads::ReadPurpose;
use super::subscriptions::DueSubscription;
use crate::link::LinkId;
use crate::timing::QUORUM_CONTACT_TIMEOUT;

/// Longest time for a replica to apply what the leader confirmed before agents go elsewhere.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

impl ShardCore {
    /// An agent wants the feed. It is answered only after the leader confirmed how far the shard
    /// is committed and this replica has applied as much, so that nobody is shown an older state
    /// than was acknowledged when the agent asked.
    pub(super) fn subscribe(
        &mut self,
        now: MonotonicTime,
        subscriber: LinkId,
        subscribe: Subscribe,
    ) {
        self.close_feed(subscriber);
        self.subscriptions.insert(now, subscriber, subscribe);
        self.confirm_subscription(now, subscriber);
    }

    /// An agent is gone.
    pub(super) fn unsubscribe(&mut self, subscriber: LinkId) {
        self.close_feed(subscriber);
        self.subscriptions.remove(subscriber);
    }

    fn close_feed(&mut self, subscriber: LinkId) {
        self.reads.forget_subscriber(subscriber);
        self.publisher.unsubscribe(subscriber.0);
    }

    /// The leader answered a read of this replica.
    pub(super) fn leader_index(&mut self, now: MonotonicTime, read: u64, index: Option<u64>) {
        match index {
            Some(index) => self.reads.confirmed(read, index),
            None => self.read_failed(now, read),
        }
    }

    /// The confirmed read is applied: the agent gets what it lacks, then every change.
    pub(super) fn open_feed(&mut self, subscriber: LinkId) {
        let Some(subscribe) = self.subscriptions.remove(subscriber) else {
            return;
        };
        let messages = self.publisher.subscribe(subscriber.0, &subscribe);
        for message in messages {
            self.feed(subscriber, message);
        }
    }

    /// Asks again for reads that failed, and sends agents elsewhere that waited too long.
    pub(super) fn tick_subscriptions(&mut self, now: MonotonicTime) {
        for due in self.subscriptions.take_due(now) {
            self.retry_subscription(now, &due);
        }
    }

    /// Confirms the present position to every agent, while in touch.
    pub(super) fn confirm_progress(&mut self, now: MonotonicTime) {
        if self.reported_status.has_quorum && self.maintenance.progress_due(now) {
            let deliveries = self.publisher.progress();
            self.deliver(deliveries);
        }
    }

    fn retry_subscription(&mut self, now: MonotonicTime, due: &DueSubscription) {
        let subscriber = due.subscriber;
        let catching_up = self.reads.is_confirmed_for(subscriber);
        if catching_up && due.waited < CATCH_UP_TIMEOUT {
            return;
        }
        self.reads.forget_subscriber(subscriber);
        if due.waited < QUORUM_CONTACT_TIMEOUT {
            self.confirm_subscription(now, subscriber);
            return;
        }
        self.subscriptions.remove(subscriber);
        let message = FeedMessage {
            shard: self.options.shard.0,
            kind: Some(feed_message::Kind::Stale(FeedStale {})),
        };
        self.feed(subscriber, message);
    }

    fn confirm_subscription(&mut self, now: MonotonicTime, subscriber: LinkId) {
        let purpose = ReadPurpose::Subscribe { subscriber };
        if self.reported_status.leads {
            self.read(now, purpose);
            return;
        }
        let read = self.reads.start(purpose);
        self.outputs.push(ShardOutput::ConfirmRead { read });
    }

    fn feed(&mut self, subscriber: LinkId, message: FeedMessage) {
        self.outputs.push(ShardOutput::Feed {
            subscriber,
            message,
        });
    }
}
