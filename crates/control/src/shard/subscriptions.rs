//! Subscriptions of agents that are not served yet.

use std::collections::BTreeMap;

use millford_api::internal::Subscribe;
use millford_core::{Duration, MonotonicTime};

use crate::link::LinkId;
use crate::timing::READ_CONFIRMATION_TIMEOUT;

/// Delay before a failed read of a subscription is tried again.
const RETRY: Duration = Duration::from_millis(60);

#[derive(Clone, Debug)]
struct PendingSubscription {
    subscribe: Subscribe,
    since: MonotonicTime,
    retry_at: MonotonicTime,
}

/// What is due for a waiting subscription.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DueSubscription {
    /// The agent's link.
    pub(super) subscriber: LinkId,
    /// How long it has been waiting.
    pub(super) waited: Duration,
}

/// Waiting subscriptions by the agent's link.
#[derive(Debug, Default)]
pub(super) struct Subscriptions {
    pending: BTreeMap<LinkId, PendingSubscription>,
}

impl Subscriptions {
    /// An agent subscribes, and its read is started now. One that subscribes again has been waiting since it
    /// subscribed first: else one that subscribes every second would never be sent elsewhere.
    pub(super) fn insert(&mut self, now: MonotonicTime, subscriber: LinkId, subscribe: Subscribe) {
        let since = self
            .pending
            .get(&subscriber)
            .map_or(now, |pending| pending.since);
        let pending = PendingSubscription {
            subscribe,
            since,
            retry_at: now + READ_CONFIRMATION_TIMEOUT,
        };
        self.pending.insert(subscriber, pending);
    }

    /// The read failed: it is due again soon.
    pub(super) fn failed(&mut self, now: MonotonicTime, subscriber: LinkId) {
        if let Some(pending) = self.pending.get_mut(&subscriber) {
            pending.retry_at = now + RETRY;
        }
    }

    /// The subscription is served, refused or given up.
    pub(super) fn remove(&mut self, subscriber: LinkId) -> Option<Subscribe> {
        let pending = self.pending.remove(&subscriber)?;
        Some(pending.subscribe)
    }

    /// Subscriptions whose read is to be started again; each is due again later.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> Vec<DueSubscription> {
        let pending = self.pending.iter_mut();
        let due = pending.filter(|(_, pending)| pending.retry_at <= now);
        due.map(|(subscriber, pending)| {
            pending.retry_at = now + READ_CONFIRMATION_TIMEOUT;
            DueSubscription {
                subscriber: *subscriber,
                waited: now.since(pending.since),
            }
        })
        .collect()
    }
}
