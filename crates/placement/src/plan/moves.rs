//! Changes that a plan makes to replicas, with their reasons.

use millford_api::state::PoolPlacement;

use crate::replica_key::ReplicaKey;

/// Result of one planning tick.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanOutcome {
    /// Placement to publish; `None` if nothing changes or the placer is fenced.
    pub placement: Option<PoolPlacement>,
    /// Changes, deferred steps and exceeded limits, each with its replica and reason.
    pub reasons: Vec<Move>,
}

/// A change to a replica, a deferred step or an exceeded limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Replica that the move concerns. For [`MoveReason::Fenced`] only its model is set, to the
    /// name of the pool.
    pub replica: ReplicaKey,
    /// Kind of the move and its cause.
    pub reason: MoveReason,
}

/// Kinds of moves, with their causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveReason {
    /// The placer is fenced: the current placement has a higher epoch. Nothing changes.
    Fenced,
    /// The first replicas of a model are placed; this one gets new work.
    Placed,
    /// The replica drains, because the platform retires its backend or the backend no longer
    /// declares the model version.
    Retired,
    /// The drained replica has no work left and is removed.
    Drained,
    /// The replica is removed with work still in flight, because the pool's drain time has passed.
    DrainTimedOut,
    /// The replica's weight is lowered, because its backend is above its bandwidth limit.
    BandwidthRelief,
    /// The backend is above its bandwidth limit, and no other backend has headroom. Nothing
    /// changes.
    BandwidthExceeded,
    /// A replica of the target version is placed beside an old one, which drains.
    TransitionStep,
    /// As [`Self::TransitionStep`], although utilization is above the budget, because the longest
    /// deferral has passed.
    TransitionForced,
    /// The transition is deferred, because utilization would exceed the budget. Nothing changes.
    TransitionDeferred,
    /// The transition is deferred, because the platform already retires at least as many backends
    /// as one step may change. Nothing changes.
    TransitionBehindRetirements,
    /// The replica of an old version drains, because replicas of the target version take its work.
    OldVersionWithdrawn,
    /// The replica is placed, because the model needs more replicas.
    ScaledUp,
    /// The replica drains, because the model needs fewer replicas.
    ScaledDown,
    /// The replica's lowered weight is raised again.
    Reweighted,
}

impl MoveReason {
    /// Whether a move of this kind changes the placement.
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
