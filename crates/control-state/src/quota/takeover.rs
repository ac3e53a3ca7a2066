//! What a new leader has to assume about the grants of its predecessor.

use millford_core::MonotonicTime;

use super::options::QuotaOptions;

/// When a new leader may grant, and when its buckets may be full.
///
/// A new leader does not know what its predecessor granted. From `grants_from` on the predecessor
/// grants nothing more, so buckets refill from empty from there on. Until `predecessor_leases_end`
/// the predecessor's surplus tokens, at most half of a burst, may still be spent; until then a
/// bucket contains at most the other half.
#[derive(Clone, Copy, Debug)]
pub(super) struct Takeover {
    pub(super) grants_from: MonotonicTime,
    pub(super) predecessor_leases_end: MonotonicTime,
    /// From then on the predecessor's unknown grants no longer keep the leader from refusing. A
    /// tenant is wronged by that only if it used its whole rate from `grants_from` until then.
    pub(super) uncertainty_ends: MonotonicTime,
}

impl Takeover {
    /// The takeover of a leader that was elected at `elected_at`.
    pub(super) fn new(elected_at: MonotonicTime, options: &QuotaOptions) -> Self {
        let grants_from = elected_at + options.step_down_bound;
        Self {
            grants_from,
            predecessor_leases_end: grants_from + options.leader_lease(),
            uncertainty_ends: grants_from + options.takeover_uncertainty,
        }
    }
}
