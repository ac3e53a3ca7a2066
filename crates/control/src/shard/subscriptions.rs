//! Subscriptions of agents that are not served yet.

use std::collections::BTreeMap;

use millford_api::internal::Subscribe;
use millford_core::{Duration, MonotonicTime};

use crate::link::LinkId;
use crate::timing::READ_PATIENCE;

/// Delay before a failed read of a subscription is tried again.
const RETRY: Duration = Duration::from_millis(60);

#[derive(Clone, Debug)]
struct Waiting {
    subscribe: Subscribe,
    since: MonotonicTime,
    retry_at: MonotonicTime,
}

/// What is due for a waiting subscription.
#[derive(Clone, Debug, PartialEq)]
pub struct DueSubscription {
    /// The agent's link.
    pub subscriber: LinkId,
    /// How long it has been waiting.
    pub waited: Duration,
}

/// Waiting subscriptions by the agent's link.
#[derive(Debug, Default)]
pub struct Subscriptions {
    waiting: BTreeMap<LinkId, Waiting>,
}

impl Subscriptions {
    /// An agent asks, and its read is asked for now. An agent that asks again has been waiting since it
    /// asked first: else one that asks every second would never be told to go elsewhere.
    pub fn insert(&mut self, now: MonotonicTime, subscriber: LinkId, subscribe: Subscribe) {
        let since = self
            .waiting
            .get(&subscriber)
            .map_or(now, |waiting| waiting.since);
        let waiting = Waiting {
            subscribe,
            since,
            retry_at: now + READ_PATIENCE,
        };
        self.waiting.insert(subscriber, waiting);
    }

    /// The read failed: it is due again soon.
    pub fn failed(&mut self, now: MonotonicTime, subscriber: LinkId) {
        if let Some(waiting) = self.waiting.get_mut(&subscriber) {
            waiting.retry_at = now + RETRY;
        }
    }

    /// The subscription is served, refused or given up.
    pub fn remove(&mut self, subscriber: LinkId) -> Option<Subscribe> {
        let waiting = self.waiting.remove(&subscriber)?;
        Some(waiting.subscribe)
    }

    /// Subscriptions whose read is to be asked for again; each is due again later.
    pub fn take_due(&mut self, now: MonotonicTime) -> Vec<DueSubscription> {
        let waiting = self.waiting.iter_mut();
        let due = waiting.filter(|(_, waiting)| waiting.retry_at <= now);
        due.map(|(subscriber, waiting)| {
            waiting.retry_at = now + READ_PATIENCE;
            DueSubscription {
                subscriber: *subscriber,
                waited: now.since(waiting.since),
            }
        })
        .collect()
    }
}
