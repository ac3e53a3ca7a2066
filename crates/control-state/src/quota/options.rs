//! Times of the ledger.

use millford_core::Duration;

/// How long a slice may be spent, counted by the node from when it sent the ask.
pub const QUOTA_LEASE: Duration = Duration::from_millis(1000);
/// How long after an election the former leader may still have lent: it steps down when it has not
/// heard from a quorum for this long.
pub const STEP_DOWN_BOUND: Duration = Duration::from_millis(500);
/// How long the streams of a silent node count on. Longer than the longest silence that a node's
/// streams are expected to outlive; a node that returns or restarts reports what is really open.
pub const SILENT_SLOT_HOLD: Duration = Duration::from_secs(30);
/// When to ask again while idle slices are being called back.
pub const RECALL_WAIT: Duration = Duration::from_millis(10);
/// How long after a change of leader what the former one lent counts as unknown.
pub const TAKEOVER_DOUBT: Duration = Duration::from_secs(60);
/// How often the ledger looks for accounts that nobody uses.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Times of the ledger, changed by tests only.
#[derive(Clone, Copy, Debug)]
pub struct QuotaOptions {
    /// See [`QUOTA_LEASE`].
    pub lease: Duration,
    /// See [`STEP_DOWN_BOUND`].
    pub step_down_bound: Duration,
    /// See [`SILENT_SLOT_HOLD`].
    pub silent_slot_hold: Duration,
    /// See [`RECALL_WAIT`].
    pub recall_wait: Duration,
    /// See [`TAKEOVER_DOUBT`].
    pub takeover_doubt: Duration,
    /// See [`SWEEP_INTERVAL`].
    pub sweep_interval: Duration,
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self {
            lease: QUOTA_LEASE,
            step_down_bound: STEP_DOWN_BOUND,
            silent_slot_hold: SILENT_SLOT_HOLD,
            recall_wait: RECALL_WAIT,
            takeover_doubt: TAKEOVER_DOUBT,
            sweep_interval: SWEEP_INTERVAL,
        }
    }
}
