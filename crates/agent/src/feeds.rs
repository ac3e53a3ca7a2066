//! Views of every shard's public state.

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
    /// Confirmed at least once since the agent started.
    confirmed: bool,
    /// Confirmed on the present connection to a control node.
    confirmed_on_link: bool,
    /// When to subscribe; none while the subscription is confirmed.
    subscribe_at: Option<MonotonicTime>,
    /// Last confirmation, or the start of the connection.
    last_confirmed: MonotonicTime,
    /// When this shard last made the agent fail over.
    failed_over_at: Option<MonotonicTime>,
}

/// Effect of a feed message.
#[derive(Clone, Debug)]
pub struct FeedEvent {
    /// Shard of the message.
    pub shard: ShardId,
    /// Outcome in the shard's view.
    pub outcome: FeedOutcome,
    /// The shard's state was confirmed for the first time since the start.
    pub first_confirmation: bool,
}

/// The views and their subscriptions on the present connection.
#[derive(Clone, Debug, Default)]
pub struct Feeds {
    shards: BTreeMap<ShardId, ShardFeed>,
    layout: Option<ShardLayout>,
}

impl Feeds {
    /// Views of the configuration shard only; the others follow once their number is known.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        let mut feeds = Self::default();
        feeds.add(ShardId::CONFIGURATION, now);
        feeds
    }

    /// The cluster's layout, once a control node named its number of data shards.
    #[must_use]
    pub fn layout(&self) -> Option<ShardLayout> {
        self.layout
    }

    /// Takes the number of data shards; 0 means that the control node does not know it.
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

    /// A new connection: everything has to be subscribed again.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for feed in self.shards.values_mut() {
            feed.subscribe_at = Some(now);
            feed.confirmed_on_link = false;
            feed.last_confirmed = now;
        }
    }

    /// Subscriptions to send now.
    pub fn due(&mut self, now: MonotonicTime) -> Vec<Subscribe> {
        let mut subscriptions = Vec::new();
        for feed in self.shards.values_mut() {
            if feed.subscribe_at.is_some_and(|at| at <= now) {
                feed.subscribe_at = (!feed.confirmed_on_link).then(|| now + RESUBSCRIBE_DELAY);
                subscriptions.push(feed.view.subscribe());
            }
        }
        subscriptions
    }

    /// Takes a feed message from the present connection; none when the shard is not known.
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

    /// Takes a confirmation back: the node knows less than what the proxy has applied.
    pub fn revoke_confirmation(&mut self, now: MonotonicTime, shard: ShardId) {
        if let Some(feed) = self.shards.get_mut(&shard) {
            feed.confirmed = false;
            feed.confirmed_on_link = false;
            feed.subscribe_at = Some(now + RESUBSCRIBE_DELAY);
        }
    }

    /// Whether a shard that the node cannot confirm may make the agent fail over now. An answer of
    /// true counts as a failover: the next is allowed after [`SHARD_FAIL_OVER_INTERVAL`].
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

    /// A shard that the node has not confirmed for [`SHARD_INACTIVITY_TIMEOUT`], if the agent may fail
    /// over for it.
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

    /// Whether every shard was confirmed since the start.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.layout.is_some() && self.shards.values().all(|feed| feed.confirmed)
    }

    /// Whether every shard was confirmed on the present connection.
    #[must_use]
    pub fn is_confirmed_on_link(&self) -> bool {
        self.layout.is_some() && self.shards.values().all(|feed| feed.confirmed_on_link)
    }

    /// The shards that were confirmed since the start.
    pub fn confirmed(&self) -> impl Iterator<Item = &FeedView> {
        let confirmed = self.shards.values().filter(|feed| feed.confirmed);
        confirmed.map(|feed| &feed.view)
    }

    /// The view of one shard.
    #[must_use]
    pub fn view(&self, shard: ShardId) -> Option<&FeedView> {
        self.shards.get(&shard).map(|feed| &feed.view)
    }

    /// Whether any backend is known.
    #[must_use]
    pub fn knows_backends(&self) -> bool {
        let mut items = self.items();
        items.any(|(key, _)| key.starts_with(BACKEND_PREFIX))
    }

    /// Every item of every shard.
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
