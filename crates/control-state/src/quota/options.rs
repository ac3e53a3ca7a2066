//! Times of quota leases.

use millford_core::Duration;

/// How long granted tokens may be spent, counted by the node from when it sent the request.
pub const QUOTA_LEASE: Duration = Duration::from_secs(1);
/// How long after an election the former leader may still have granted: it steps down when it has
/// had no contact to a quorum for this long.
pub const STEP_DOWN_BOUND: Duration = Duration::from_millis(500);
/// How long the streams of an unresponsive node still count. Longer than the longest disconnection
/// that a node's streams are expected to outlive; a node that returns or restarts reports what is
/// really open.
pub const INACTIVE_SLOT_TIMEOUT: Duration = Duration::from_secs(30);
/// When to retry a request, or to repeat a recall, while idle tokens or slots are being recalled.
pub const RECALL_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long after a change of leader the spending of the former one's grants counts as unknown.
pub const TAKEOVER_UNCERTAINTY: Duration = Duration::from_mins(1);
/// How often the leader looks for accounts that nobody uses.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Added to a lease by the leader, for clocks that do not run equally fast.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// How long after one node's return from an outage others of the same outage may still return.
pub(super) const OUTAGE_RETURN_WINDOW: Duration = Duration::from_secs(10);

/// Times of quota leases; only tests deviate from the defaults.
#[derive(Clone, Copy, Debug)]
pub struct QuotaOptions {
    /// See [`QUOTA_LEASE`].
    pub lease: Duration,
    /// See [`STEP_DOWN_BOUND`].
    pub step_down_bound: Duration,
    /// See [`INACTIVE_SLOT_TIMEOUT`].
    pub inactive_slot_timeout: Duration,
    /// See [`RECALL_RETRY_DELAY`].
    pub recall_retry_delay: Duration,
    /// See [`TAKEOVER_UNCERTAINTY`].
    pub takeover_uncertainty: Duration,
    /// See [`SWEEP_INTERVAL`].
    pub sweep_interval: Duration,
}

impl QuotaOptions {
    /// Time after a grant from which the leader takes its lease to have ended.
    ///
    /// Safety: a node's lease ends before that. The node counts from when it sent the request, the
    /// leader from when it replied, and the margin covers unequal clocks.
    pub(super) fn leader_lease(&self) -> Duration {
        self.lease + CLOCK_MARGIN
    }
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self {
            lease: QUOTA_LEASE,
            step_down_bound: STEP_DOWN_BOUND,
            inactive_slot_timeout: INACTIVE_SLOT_TIMEOUT,
            recall_retry_delay: RECALL_RETRY_DELAY,
            takeover_uncertainty: TAKEOVER_UNCERTAINTY,
            sweep_interval: SWEEP_INTERVAL,
        }
    }
}
