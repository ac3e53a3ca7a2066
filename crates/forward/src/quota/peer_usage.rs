//! What one peer admits of one tenant, also while nothing is received from it.

use millford_core::{Duration, MonotonicTime};

/// A peer that sends nothing for this long is assumed to go on as before.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(400);

/// Time constant with which the assumption fades: a peer that died admits nothing.
pub const FADE_S: f64 = 4.0;

/// Weight of the newest rate in the smoothed one.
const NEWEST_WEIGHT: f64 = 0.3;

/// Shortest time between two counts that a rate is taken from, in seconds.
const MIN_RATE_SPAN_S: f64 = 0.05;

/// A gap between messages longer than this means that the peer was partitioned: a peer with nothing to report
/// still sends once a second.
pub const PARTITION_GAP: Duration = Duration::from_millis(1500);

/// A peer that is received again has itself received from everybody else after this long.
const STABLE_AFTER: Duration = Duration::from_millis(1500);

/// Cumulative count of one peer, and what was assumed of it since its last message.
#[derive(Clone, Debug)]
pub struct PeerUsage {
    boot_id: u64,
    total: u64,
    received_at: MonotonicTime,
    /// Since when its messages came without a gap.
    continuous_since: MonotonicTime,
    /// Smoothed, in tokens a second.
    rate: f64,
    /// Tokens charged for it since its last message.
    assumed: f64,
    assumed_until: MonotonicTime,
}

impl PeerUsage {
    /// The first count that is received of a peer. What it admitted before is past.
    #[must_use]
    pub fn first(boot_id: u64, total: u64, now: MonotonicTime) -> Self {
        Self {
            boot_id,
            total,
            received_at: now,
            continuous_since: now,
            rate: 0.0,
            assumed: 0.0,
            assumed_until: now,
        }
    }

    /// Records a newer count. Returns the tokens to charge; less than 0 when more had been assumed.
    pub fn record_count(&mut self, boot_id: u64, total: u64, now: MonotonicTime) -> f64 {
        // A restarted peer counts from 0 again.
        let former = if boot_id == self.boot_id {
            self.total
        } else {
            0
        };
        let admitted = total.saturating_sub(former) as f64;
        let inactivity = now.since(self.received_at);
        if inactivity > PARTITION_GAP || boot_id != self.boot_id {
            self.continuous_since = now;
        }
        let span = inactivity.as_secs_f64();
        if span >= MIN_RATE_SPAN_S {
            let newest = admitted / span;
            self.rate += (newest - self.rate) * NEWEST_WEIGHT;
        }
        self.boot_id = boot_id;
        self.total = total;
        self.received_at = now;
        let assumed = std::mem::take(&mut self.assumed);
        self.assumed_until = now;
        admitted - assumed
    }

    /// Whether the same incarnation was received from lately, so that all that it admitted since is known.
    #[must_use]
    pub fn is_continuous(&self, boot_id: u64, now: MonotonicTime) -> bool {
        self.boot_id == boot_id && now.since(self.received_at) <= PARTITION_GAP
    }

    /// Whether nothing was received for so long that something should have been.
    #[must_use]
    pub fn is_unresponsive(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) >= UNRESPONSIVE_AFTER
    }

    /// The peer admits nothing any more: others do in its place. Returns the tokens that were wrongly
    /// assumed.
    pub fn withdraw_assumed(&mut self, now: MonotonicTime) -> f64 {
        self.assumed_until = now;
        self.rate = 0.0;
        std::mem::take(&mut self.assumed)
    }

    /// Whether the peer's estimate can be trusted: it was neither partitioned nor started lately.
    #[must_use]
    pub fn is_stable(&self) -> bool {
        self.received_at.since(self.continuous_since) >= STABLE_AFTER
    }

    /// The tokens to charge for an unresponsive peer: it may be partitioned and admit as before, but not more
    /// than `max_rate` tokens a second.
    pub fn assume(&mut self, now: MonotonicTime, max_rate: f64) -> f64 {
        if !self.is_unresponsive(now) {
            return 0.0;
        }
        let inactivity = now.since(self.received_at);
        let span = now.since(self.assumed_until).as_secs_f64();
        let fading = (-inactivity.as_secs_f64() / FADE_S).exp();
        let tokens = self.rate.min(max_rate) * fading * span;
        self.assumed_until = now;
        self.assumed += tokens;
        tokens
    }
}
