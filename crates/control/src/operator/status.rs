//! Parts of the response to `GET /v1/status`.

use millford_api::internal::{SessionStatus, ShardStatus};
use millford_api::operator::{MemberBody, PlacementBody, ReplicaBody, SessionBody, ShardBody};
use millford_api::state::{ControlMember, PoolPlacement, Replica, ReplicaState};
use millford_core::NodeId;

use crate::shard::ShardReplicaStatus;

/// A control node, and whether this node is connected to it.
#[must_use]
pub fn member_body(member: &ControlMember, connected: bool) -> MemberBody {
    MemberBody {
        node: NodeId(member.node_id).to_string(),
        internal_address: member.internal_address.clone(),
        operator_address: member.operator_address.clone(),
        zone: member.zone.clone(),
        connected,
    }
}

/// A shard, as reported by its leader.
#[must_use]
pub fn shard_body(status: &ShardStatus) -> ShardBody {
    let leader = NodeId(status.leader);
    let text = |node: &u64| NodeId(*node).to_string();
    ShardBody {
        shard: status.shard,
        leader: if leader.is_some() {
            leader.to_string()
        } else {
            String::new()
        },
        term: status.term,
        commit_index: status.commit_index,
        voters: status.voters.iter().map(text).collect(),
        learners: status.learners.iter().map(text).collect(),
    }
}

/// A shard whose leader did not answer, as known by this node's own replica.
#[must_use]
pub fn leaderless_body(replica: &ShardReplicaStatus) -> ShardBody {
    ShardBody {
        shard: replica.shard.0,
        leader: String::new(),
        term: replica.term,
        commit_index: replica.commit_index,
        voters: replica.voters.iter().map(NodeId::to_string).collect(),
        learners: replica.learners.iter().map(NodeId::to_string).collect(),
    }
}

/// An open session, as reported by the leader of its shard.
#[must_use]
pub fn session_body(status: &SessionStatus) -> SessionBody {
    SessionBody {
        member: status.member.clone(),
        epoch: status.epoch,
        zone: status.zone.clone(),
        address: status.address.clone(),
        applied_revision: status.applied_revision,
    }
}

/// The placement of a pool's replicas.
#[must_use]
pub fn placement_body(placement: &PoolPlacement) -> PlacementBody {
    PlacementBody {
        pool: placement.pool.clone(),
        epoch: placement.epoch,
        replicas: placement.replicas.iter().map(replica_body).collect(),
    }
}

fn replica_body(replica: &Replica) -> ReplicaBody {
    let state = match replica.state() {
        ReplicaState::ReplicaActive => "active",
        ReplicaState::ReplicaDraining => "draining",
    };
    ReplicaBody {
        backend_id: replica.backend_id.clone(),
        model: replica.model.clone(),
        version: replica.version.clone(),
        state: state.to_owned(),
        weight_milli: replica.weight_milli,
    }
}
