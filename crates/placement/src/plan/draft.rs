//! The placement that a plan works on.

use std::collections::BTreeMap;

use millford_api::state::{PoolPlacement, Replica, ReplicaState};

use crate::plan::moves::{Move, MoveReason};
use crate::replica_key::ReplicaKey;

/// Weight of a replica without any reduction, in thousandths.
pub const FULL_WEIGHT_MILLI: u32 = 1000;

/// One replica of a draft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DraftReplica {
    /// Takes new work, or drains.
    pub state: ReplicaState,
    /// Weight of new work in thousandths.
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

/// A placement in preparation, with the moves made so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Replicas by key.
    pub replicas: BTreeMap<ReplicaKey, DraftReplica>,
    /// Moves so far.
    pub moves: Vec<Move>,
}

impl Draft {
    /// Starts from the placement that is applied now.
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

    /// The draft as a placement.
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

    /// Records a move, or a reason that changes nothing.
    pub fn record(&mut self, replica: ReplicaKey, reason: MoveReason) {
        self.moves.push(Move { replica, reason });
    }

    /// Lets new work go to a replica.
    pub fn place(&mut self, replica: ReplicaKey, reason: MoveReason) {
        let active = DraftReplica {
            state: ReplicaState::ReplicaActive,
            weight_milli: FULL_WEIGHT_MILLI,
        };
        self.replicas.insert(replica.clone(), active);
        self.record(replica, reason);
    }

    /// Stops new work to an active replica.
    pub fn drain(&mut self, replica: &ReplicaKey, reason: MoveReason) {
        if let Some(present) = self.replicas.get_mut(replica)
            && present.state == ReplicaState::ReplicaActive
        {
            present.state = ReplicaState::ReplicaDraining;
            self.record(replica.clone(), reason);
        }
    }

    /// Removes a replica.
    pub fn remove(&mut self, replica: &ReplicaKey, reason: MoveReason) {
        if self.replicas.remove(replica).is_some() {
            self.record(replica.clone(), reason);
        }
    }

    /// Changes a replica's weight of new work, in thousandths.
    pub fn reweight(&mut self, replica: &ReplicaKey, weight_milli: u32, reason: MoveReason) {
        if let Some(present) = self.replicas.get_mut(replica)
            && present.weight_milli != weight_milli
        {
            present.weight_milli = weight_milli;
            self.record(replica.clone(), reason);
        }
    }

    /// Number of moves that change something.
    #[must_use]
    pub fn changes(&self) -> usize {
        self.moves
            .iter()
            .filter(|step| step.reason.is_change())
            .count()
    }

    /// Keys of the active replicas.
    pub fn active(&self) -> impl Iterator<Item = &ReplicaKey> {
        self.in_state(ReplicaState::ReplicaActive)
    }

    /// Keys of the draining replicas.
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
