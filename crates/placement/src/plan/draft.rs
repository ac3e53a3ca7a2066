//! Placement in preparation, which the steps of a plan modify.

use std::collections::BTreeMap;

use millford_api::state::{PoolPlacement, Replica, ReplicaState};

use crate::plan::moves::{Move, MoveReason};
use crate::replica_key::ReplicaKey;

/// Weight of a replica whose weight was not lowered, in thousandths.
pub const FULL_WEIGHT_MILLI: u32 = 1000;

/// State and weight of a replica in a draft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DraftReplica {
    /// Whether the replica is active, which means that it takes new work, or draining.
    pub state: ReplicaState,
    /// Weight of the replica for new work, in thousandths.
    pub weight_milli: u32,
}

impl From<&Replica> for DraftReplica {
    fn from(replica: &Replica) -> Self {
        Self {
            state: replica.state(),
            weight_milli: replica.weight_milli,
        }
    }
}

/// A placement in preparation, with the moves recorded so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Replicas of the placement by key.
    pub replicas: BTreeMap<ReplicaKey, DraftReplica>,
    /// Changes made so far, and steps that were deferred, in the order of their recording.
    pub moves: Vec<Move>,
}

impl Draft {
    /// Creates a draft of the placement that is currently applied; empty when there is none.
    #[must_use]
    pub fn new(current: Option<&PoolPlacement>) -> Self {
        let replicas = current
            .into_iter()
            .flat_map(|placement| &placement.replicas)
            .map(|replica| (ReplicaKey::from(replica), DraftReplica::from(replica)))
            .collect();
        Self {
            replicas,
            moves: Vec::new(),
        }
    }

    /// Converts the draft to a placement of `pool` under `epoch`.
    #[must_use]
    pub fn to_placement(&self, pool: &str, epoch: u64) -> PoolPlacement {
        let replicas = self
            .replicas
            .iter()
            .map(|(key, replica)| Replica {
                backend_id: key.backend.clone(),
                model: key.model.clone(),
                version: key.version.clone(),
                state: replica.state.into(),
                weight_milli: replica.weight_milli,
            })
            .collect();
        PoolPlacement {
            pool: pool.to_owned(),
            epoch,
            replicas,
        }
    }

    /// Records a change, or the reason why a step was deferred or a limit is exceeded.
    pub fn record(&mut self, replica: ReplicaKey, reason: MoveReason) {
        self.moves.push(Move { replica, reason });
    }

    /// Adds a replica that takes new work with full weight.
    pub fn place(&mut self, replica: ReplicaKey, reason: MoveReason) {
        let active = DraftReplica {
            state: ReplicaState::ReplicaActive,
            weight_milli: FULL_WEIGHT_MILLI,
        };
        self.replicas.insert(replica.clone(), active);
        self.record(replica, reason);
    }

    /// Sets an active replica to draining, so that it gets no new work. Other replicas are
    /// unchanged.
    pub fn drain(&mut self, replica: &ReplicaKey, reason: MoveReason) {
        if let Some(present) = self.replicas.get_mut(replica)
            && present.state == ReplicaState::ReplicaActive
        {
            present.state = ReplicaState::ReplicaDraining;
            self.record(replica.clone(), reason);
        }
    }

    /// Removes a replica and records the move, if the draft contains it.
    pub fn remove(&mut self, replica: &ReplicaKey, reason: MoveReason) {
        if self.replicas.remove(replica).is_some() {
            self.record(replica.clone(), reason);
        }
    }

    /// Sets a replica's weight for new work, in thousandths, and records the move if it changes.
    pub fn reweight(&mut self, replica: &ReplicaKey, weight_milli: u32, reason: MoveReason) {
        if let Some(present) = self.replicas.get_mut(replica)
            && present.weight_milli != weight_milli
        {
            present.weight_milli = weight_milli;
            self.record(replica.clone(), reason);
        }
    }

    /// Returns the number of recorded moves that change the placement.
    #[must_use]
    pub fn changes(&self) -> usize {
        self.moves
            .iter()
            .filter(|step| step.reason.is_change())
            .count()
    }

    /// Returns the keys of the active replicas.
    pub fn active(&self) -> impl Iterator<Item = &ReplicaKey> {
        self.in_state(ReplicaState::ReplicaActive)
    }

    /// Returns the keys of the draining replicas.
    pub fn draining(&self) -> impl Iterator<Item = &ReplicaKey> {
        self.in_state(ReplicaState::ReplicaDraining)
    }

    /// Whether the backend has an active replica of the model, of any version.
    #[must_use]
    pub fn hosts_model(&self, backend: &str, model: &str) -> bool {
        self.active()
            .any(|key| key.backend == backend && key.model == model)
    }

    fn in_state(&self, state: ReplicaState) -> impl Iterator<Item = &ReplicaKey> {
        self.replicas
            .iter()
            .filter(move |(_, replica)| replica.state == state)
            .map(|(key, _)| key)
    }
}
