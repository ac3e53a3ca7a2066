//! Tracks what one peer admits of one tenant, and extrapolates it while nothing is received from the peer.

use millford_core::{Duration, MonotonicTime};

/// Time without a message after which a peer counts as unresponsive, and is assumed to admit at its last rate.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(400);

/// Time constant with which the assumed rate of an unresponsive peer decays, in seconds: a peer that has stopped
/// admits nothing.
pub const ASSUMED_RATE_DECAY_S: f64 = 4.0;

/// Weight of the newest rate in the smoothed one.
const NEWEST_WEIGHT: f64 = 0.3;

/// Shortest time between two counts from which a rate is computed, in seconds.
const MIN_RATE_SPAN_S: f64 = 0.05;

/// Longest gap between two messages of a peer that is not partitioned. A peer with nothing to report still sends
/// once a second.
pub const PARTITION_GAP: Duration = Duration::from_millis(1500);

/// Time after the end of a partition or a start until a peer has received the reports of all other peers.
const STABLE_AFTER: Duration = Duration::from_millis(1500);

/// The cumulative count of one peer, and the usage that was assumed for it since its last message.
#[derive(Clone, Debug)]
pub struct PeerUsage {
    boot_id: u64,
    /// Tokens that the peer admitted since its start.
    total: u64,
    received_at: MonotonicTime,
    /// Start of the period in which messages were received without a gap.
    continuous_since: MonotonicTime,
    /// Smoothed admission rate, in tokens per second.
    rate: f64,
    /// Tokens charged for the peer since its last message.
    assumed: f64,
    /// Time up to which assumed tokens were charged.
    assumed_until: MonotonicTime,
}

impl PeerUsage {
    /// Creates the usage from the first count that is received from a peer. The rate starts at 0: what the peer
    /// admitted before is not attributed to a time span.
    #[must_use]
    pub fn new(boot_id: u64, total: u64, now: MonotonicTime) -> Self {
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

    /// Records a newer count. Returns the tokens to charge in addition to the assumed ones; less than 0 if too
    /// many were assumed.
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

    /// Whether the last message was received within [`PARTITION_GAP`] and from the same incarnation of the peer, so
    /// that the difference to the next count is what the peer has admitted recently.
    #[must_use]
    pub fn is_continuous(&self, boot_id: u64, now: MonotonicTime) -> bool {
        self.boot_id == boot_id && now.since(self.received_at) <= PARTITION_GAP
    }

    /// Whether nothing was received from the peer for `UNRESPONSIVE_AFTER` or longer.
    #[must_use]
    pub fn is_unresponsive(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) >= UNRESPONSIVE_AFTER
    }

    /// Stops assuming usage for a peer whose requests other peers have taken over. Returns the tokens that were
    /// wrongly assumed.
    pub fn withdraw_assumed(&mut self, now: MonotonicTime) -> f64 {
        self.assumed_until = now;
        self.rate = 0.0;
        std::mem::take(&mut self.assumed)
    }

    /// Whether the peer's estimate is reliable: the peer was neither partitioned nor started recently.
    #[must_use]
    pub fn is_stable(&self) -> bool {
        self.received_at.since(self.continuous_since) >= STABLE_AFTER
    }

    /// Returns the tokens to charge for an unresponsive peer since the last call. The peer may be partitioned and
    /// still admit requests; it is assumed to do so at its last rate, which decays, and at most at `max_rate`
    /// tokens per second.
    pub fn accrue_assumed(&mut self, now: MonotonicTime, max_rate: f64) -> f64 {
        if !self.is_unresponsive(now) {
            return 0.0;
        }
        let inactivity = now.since(self.received_at);
        let span = now.since(self.assumed_until).as_secs_f64();
        let decay = (-inactivity.as_secs_f64() / ASSUMED_RATE_DECAY_S).exp();
        let tokens = self.rate.min(max_rate) * decay * span;
        self.assumed_until = now;
        self.assumed += tokens;
        tokens
    }
}
