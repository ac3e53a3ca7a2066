//! Changes that a plan makes, with their reasons.

use millford_api::state::PoolPlacement;

use crate::replica_key::ReplicaKey;

/// Result of one planning tick.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanOutcome {
    /// The placement to publish; none when nothing changes.
    pub placement: Option<PoolPlacement>,
    /// Changes, and steps that are deferred or limits that are exceeded, with reasons.
    pub reasons: Vec<Move>,
}

/// One change to a replica, or one that is deferred.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The replica.
    pub replica: ReplicaKey,
    /// Why.
    pub reason: MoveReason,
}

/// Reasons of moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveReason {
    /// The applied placement has a larger epoch: this placer is fenced off.
    Fenced,
    /// New work may go to the replica from now on.
    Placed,
    /// The platform retires the backend, or it withdrew the declaration: no new work.
    Retired,
    /// The drained replica is empty and removed.
    Drained,
    /// The replica is removed with work still open, because `drain_ms` has passed.
    DrainTimedOut,
    /// The backend is above its bandwidth limit; the replica gets less new work.
    BandwidthRelief,
    /// The backend is above its bandwidth limit and no other one has headroom.
    BandwidthExceeded,
    /// A replica of the target version starts in place of the old one.
    TransitionStep,
    /// As [`Self::TransitionStep`], over the budget because the longest deferral has passed.
    TransitionForced,
    /// The transition waits: utilization is over the budget.
    TransitionDeferred,
    /// The transition waits: retirements by the platform spend the budget.
    TransitionBehindRetirements,
    /// The old version's replica takes no new work.
    OldVersionWithdrawn,
    /// More replicas are desired.
    ScaledUp,
    /// Fewer replicas are desired.
    ScaledDown,
    /// The replica's weight of new work changes.
    Reweighted,
}

impl MoveReason {
    /// Whether the reason belongs to a change, and not only to something deferred or exceeded.
    #[must_use]
    pub fn is_change(self) -> bool {
        !matches!(
            self,
            Self::Fenced
                | Self::BandwidthExceeded
                | Self::TransitionDeferred
                | Self::TransitionBehindRetirements
        )
    }
}
