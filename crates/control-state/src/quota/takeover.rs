//! Times after which a new leader no longer has to allow for its predecessor's grants.

use millford_core::MonotonicTime;

use super::options::QuotaOptions;

/// Times at which a new leader may begin to grant and to fill its buckets completely.
///
/// A new leader has no record of its predecessor's grants. The predecessor grants nothing after
/// `grants_from`, so buckets start empty at that time and refill from then on. Until
/// `predecessor_leases_end` the predecessor's surplus tokens, at most half of a burst, may still be
/// spent; until then a bucket contains at most the other half.
#[derive(Clone, Copy, Debug)]
pub(super) struct Takeover {
    pub(super) grants_from: MonotonicTime,
    pub(super) predecessor_leases_end: MonotonicTime,
    /// Time until which the leader assumes, when it decides about refusals, that tokens granted by
    /// its predecessor may not have been spent. Later it can refuse a tenant wrongly, but only one
    /// that used its whole rate from `grants_from` until this time.
    pub(super) uncertainty_ends: MonotonicTime,
}

impl Takeover {
    /// Computes the times for a leader that was elected at `elected_at`.
    pub(super) fn new(elected_at: MonotonicTime, options: &QuotaOptions) -> Self {
        let grants_from = elected_at + options.step_down_bound;
        Self {
            grants_from,
            predecessor_leases_end: grants_from + options.leader_lease(),
            uncertainty_ends: grants_from + options.takeover_uncertainty,
        }
    }
}
