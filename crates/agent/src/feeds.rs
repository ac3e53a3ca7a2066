//! Local copies of every shard's public state, and their feed subscriptions.

use std::collections::BTreeMap;

use millford_api::internal::{FeedMessage, Subscribe};
use millford_api::state::StateValue;
use millford_core::{MonotonicTime, ShardId, ShardLayout};
use millford_feed::{FeedOutcome, FeedView};

use crate::registry::overlay::BACKEND_PREFIX;
use crate::timing::{RESUBSCRIBE_DELAY, SHARD_FAIL_OVER_INTERVAL, SHARD_INACTIVITY_TIMEOUT};

#[derive(Clone, Debug)]
struct ShardFeed {
    view: FeedView,
    /// Whether a control node has confirmed the state at least once since the agent started.
    confirmed: bool,
    /// Whether the state has been confirmed on the current connection to a control node.
    confirmed_on_link: bool,
    /// Time at which to send the next subscription; `None` while the subscription is confirmed.
    subscribe_at: Option<MonotonicTime>,
    /// Time of the last confirmation, or of the start of the connection if that is later.
    last_confirmed: MonotonicTime,
    /// Time at which this shard last caused a failover; `None` if it has not caused one.
    failed_over_at: Option<MonotonicTime>,
}

/// Result of applying a feed message.
#[derive(Clone, Debug)]
pub struct FeedEvent {
    /// Shard that the message belongs to.
    pub shard: ShardId,
    /// Effect of the message on the local copy of the shard's state.
    pub outcome: FeedOutcome,
    /// Whether this is the first confirmation of the shard's state since the agent started.
    pub first_confirmation: bool,
}

/// The views of all known shards and their subscriptions on the current connection.
#[derive(Clone, Debug, Default)]
pub struct Feeds {
    shards: BTreeMap<ShardId, ShardFeed>,
    layout: Option<ShardLayout>,
}

impl Feeds {
    /// Creates a view of the configuration shard only. The data shards are added by
    /// [`Self::set_data_shards`].
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        let mut feeds = Self::default();
        feeds.add(ShardId::CONFIGURATION, now);
        feeds
    }

    /// Returns the cluster's shard layout, or `None` until a control node has reported the number
    /// of data shards.
    #[must_use]
    pub fn layout(&self) -> Option<ShardLayout> {
        self.layout
    }

    /// Sets the number of data shards reported by a control node and adds their views. Ignored if
    /// the number is 0 (unknown to the control node) or already set.
    pub fn set_data_shards(&mut self, now: MonotonicTime, data_shards: u32) {
        if data_shards == 0 || self.layout.is_some() {
            return;
        }
        let layout = ShardLayout::new(data_shards);
        self.layout = Some(layout);
        for shard in layout.all() {
            if !self.shards.contains_key(&shard) {
                self.add(shard, now);
            }
        }
    }

    /// Schedules a subscription to every shard on a new connection.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for feed in self.shards.values_mut() {
            feed.subscribe_at = Some(now);
            feed.confirmed_on_link = false;
            feed.last_confirmed = now;
        }
    }

    /// Returns the subscriptions to send now.
    pub fn due_subscriptions(&mut self, now: MonotonicTime) -> Vec<Subscribe> {
        let mut subscriptions = Vec::new();
        for feed in self.shards.values_mut() {
            if feed.subscribe_at.is_some_and(|at| at <= now) {
                feed.subscribe_at = (!feed.confirmed_on_link).then(|| now + RESUBSCRIBE_DELAY);
                subscriptions.push(feed.view.subscribe());
            }
        }
        subscriptions
    }

    /// Applies a feed message from the current connection. Returns `None` if the shard is unknown.
    pub fn apply(&mut self, now: MonotonicTime, message: FeedMessage) -> Option<FeedEvent> {
        let shard = ShardId(message.shard);
        let feed = self.shards.get_mut(&shard)?;
        let outcome = feed.view.apply(message);
        let mut first_confirmation = false;
        match outcome {
            FeedOutcome::Changed(_) | FeedOutcome::Unchanged => {
                first_confirmation = !feed.confirmed;
                feed.confirmed = true;
                feed.confirmed_on_link = true;
                feed.subscribe_at = None;
                feed.last_confirmed = now;
            }
            FeedOutcome::Resubscribe => {
                feed.confirmed_on_link = false;
                feed.subscribe_at = Some(now);
            }
            FeedOutcome::Stale => {
                feed.confirmed_on_link = false;
                feed.subscribe_at = Some(now + RESUBSCRIBE_DELAY);
            }
        }
        Some(FeedEvent {
            shard,
            outcome,
            first_confirmation,
        })
    }

    /// Revokes a shard's confirmation, for a control node whose state is older than the state that
    /// the proxy has applied.
    pub fn revoke_confirmation(&mut self, now: MonotonicTime, shard: ShardId) {
        if let Some(feed) = self.shards.get_mut(&shard) {
            feed.confirmed = false;
            feed.confirmed_on_link = false;
            feed.subscribe_at = Some(now + RESUBSCRIBE_DELAY);
        }
    }

    /// Returns whether a shard that the control node cannot confirm may cause a failover now.
    /// Returning `true` counts as a failover: the next one is allowed after
    /// [`SHARD_FAIL_OVER_INTERVAL`].
    pub fn may_fail_over(&mut self, now: MonotonicTime, shard: ShardId) -> bool {
        let Some(feed) = self.shards.get_mut(&shard) else {
            return false;
        };
        let recently = feed
            .failed_over_at
            .is_some_and(|at| now.since(at) < SHARD_FAIL_OVER_INTERVAL);
        if !recently {
            feed.failed_over_at = Some(now);
        }
        !recently
    }

    /// Returns a shard that the control node has not confirmed for [`SHARD_INACTIVITY_TIMEOUT`] and
    /// that may cause a failover now. Counts as a failover, as in [`Self::may_fail_over`].
    pub fn inactive_shard(&mut self, now: MonotonicTime) -> Option<ShardId> {
        let shards = self.shards.iter();
        let inactive: Vec<ShardId> = shards
            .filter(|(_, feed)| now.since(feed.last_confirmed) > SHARD_INACTIVITY_TIMEOUT)
            .map(|(shard, _)| *shard)
            .collect();
        inactive
            .into_iter()
            .find(|shard| self.may_fail_over(now, *shard))
    }

    /// Returns whether every shard has been confirmed at least once since the agent started.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.layout.is_some() && self.shards.values().all(|feed| feed.confirmed)
    }

    /// Returns whether every shard has been confirmed on the current connection.
    #[must_use]
    pub fn is_confirmed_on_link(&self) -> bool {
        self.layout.is_some() && self.shards.values().all(|feed| feed.confirmed_on_link)
    }

    /// Returns the views of the shards that have been confirmed since the agent started.
    pub fn confirmed(&self) -> impl Iterator<Item = &FeedView> {
        let confirmed = self.shards.values().filter(|feed| feed.confirmed);
        confirmed.map(|feed| &feed.view)
    }

    /// Returns the view of one shard, or `None` if the shard is unknown.
    #[must_use]
    pub fn view(&self, shard: ShardId) -> Option<&FeedView> {
        self.shards.get(&shard).map(|feed| &feed.view)
    }

    /// Returns whether the feeds contain any backend.
    #[must_use]
    pub fn has_backends(&self) -> bool {
        let mut items = self.items();
        items.any(|(key, _)| key.starts_with(BACKEND_PREFIX))
    }

    /// Returns the items of all shards, confirmed or not.
    pub fn items(&self) -> impl Iterator<Item = (&String, &StateValue)> {
        self.shards.values().flat_map(|feed| feed.view.items())
    }

    fn add(&mut self, shard: ShardId, now: MonotonicTime) {
        let feed = ShardFeed {
            view: FeedView::new(shard),
            confirmed: false,
            confirmed_on_link: false,
            subscribe_at: Some(now),
            last_confirmed: now,
            failed_over_at: None,
        };
        self.shards.insert(shard, feed);
    }
}
