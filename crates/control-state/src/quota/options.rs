//! Durations that control the quota leases.

use millford_core::Duration;

/// How long granted tokens may be spent. The node counts from when it sent the request.
pub const QUOTA_LEASE: Duration = Duration::from_secs(1);
/// How long after an election the former leader may still grant: a leader steps down when it has
/// had no contact with a quorum for this long.
pub const STEP_DOWN_BOUND: Duration = Duration::from_millis(500);
/// How long the streams of an unresponsive node still count against the limit. It exceeds the
/// longest disconnection during which a node's streams are expected to continue. A node that
/// reconnects or restarts reports the streams that are really open.
pub const INACTIVE_SLOT_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a node retries a request, or the leader repeats a recall, while idle tokens or
/// slots are being recalled.
pub const RECALL_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long after a change of leader the new leader assumes, when it decides about refusals, that
/// tokens granted by its predecessor may not have been spent.
pub const TAKEOVER_UNCERTAINTY: Duration = Duration::from_mins(1);
/// How often the leader drops idle accounts.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Margin that the leader adds to a lease, because the node's clock may run slower than its own.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// Time after a node's reconnection within which other nodes may still reconnect after the same
/// outage.
pub(super) const OUTAGE_RETURN_WINDOW: Duration = Duration::from_secs(10);

/// Durations that control the quota leases. Only tests deviate from the defaults.
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
    /// Returns the time after a grant at which the leader regards the lease as ended.
    ///
    /// Safety: the lease ends earlier at the node. The node counts from when it sent the request,
    /// the leader from when it replied, and the margin covers clocks that run at different speeds.
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
