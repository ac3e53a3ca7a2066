//! Subscriptions of agents that are not served yet.

use std::collections::BTreeMap;

use millford_api::internal::Subscribe;
use millford_core::{Duration, MonotonicTime};

use crate::link::LinkId;
use crate::timing::READ_CONFIRMATION_TIMEOUT;

/// Delay before a failed read of a subscription is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

#[derive(Clone, Debug)]
struct PendingSubscription {
    subscribe: Subscribe,
    since: MonotonicTime,
    retry_at: MonotonicTime,
}

/// A waiting subscription whose retry time has come.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DueSubscription {
    /// The agent's link.
    pub(super) subscriber: LinkId,
    /// Time since the agent first subscribed on this link.
    pub(super) waited: Duration,
}

/// Waiting subscriptions by the agent's link.
#[derive(Debug, Default)]
pub(super) struct Subscriptions {
    pending: BTreeMap<LinkId, PendingSubscription>,
}

impl Subscriptions {
    /// Adds a subscription whose read is started now. The waiting time of an agent that subscribes
    /// again counts from its first subscription; otherwise an agent that subscribes every second
    /// would never be refused.
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

    /// Schedules a retry after the subscription's read failed.
    pub(super) fn failed(&mut self, now: MonotonicTime, subscriber: LinkId) {
        if let Some(pending) = self.pending.get_mut(&subscriber) {
            pending.retry_at = now + RETRY_DELAY;
        }
    }

    /// Removes a subscription that is served, refused or abandoned.
    pub(super) fn remove(&mut self, subscriber: LinkId) -> Option<Subscribe> {
        let pending = self.pending.remove(&subscriber)?;
        Some(pending.subscribe)
    }

    /// Takes the subscriptions whose read is to be restarted, and schedules the next retry of each.
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
