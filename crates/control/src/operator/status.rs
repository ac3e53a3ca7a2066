//! Body of `GET /v1/status`.

use millford_api::internal::{SessionStatus, ShardStatus};
use millford_api::state::{ControlMember, PoolPlacement, Replica, ReplicaState};
use millford_core::NodeId;
use serde::{Deserialize, Serialize};

/// The control plane as the answering node sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Identity of the answering node, in hexadecimal.
    pub node: String,
    /// Identity of the cluster; empty before it is formed.
    pub cluster: String,
    /// Number of the configuration in force.
    pub revision: u64,
    /// The control nodes.
    pub members: Vec<MemberBody>,
    /// The shards.
    pub shards: Vec<ShardBody>,
    /// Open sessions.
    pub sessions: Vec<SessionBody>,
    /// Replicas by pool.
    pub placements: Vec<PlacementBody>,
}

/// A control node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Identity, in hexadecimal.
    pub node: String,
    /// Address for control nodes and agents.
    pub internal_address: String,
    /// Address for operators.
    pub operator_address: String,
    /// Zone.
    pub zone: String,
    /// Whether the answering node is in touch with it.
    pub in_touch: bool,
}

/// A shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardBody {
    /// Number of the shard; 0 holds the configuration.
    pub shard: u32,
    /// Identity of the leader; empty when there is none.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Last committed index.
    pub commit_index: u64,
    /// Identities of the voters.
    pub voters: Vec<String>,
    /// Identities of the learners.
    pub learners: Vec<String>,
}

/// A session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionBody {
    /// Name of the agent or control node.
    pub member: String,
    /// Epoch of the session.
    pub epoch: u64,
    /// Zone.
    pub zone: String,
    /// Address.
    pub address: String,
    /// Configuration revision that the member shows.
    pub shown_revision: u64,
}

/// Replicas of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementBody {
    /// Name of the pool.
    pub pool: String,
    /// Epoch of the placement role.
    pub epoch: u64,
    /// The replicas.
    pub replicas: Vec<ReplicaBody>,
}

/// A replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaBody {
    /// Identity of the backend.
    pub backend_id: String,
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// `active` or `draining`.
    pub state: String,
    /// Relative share of new work, in thousandths.
    pub weight_milli: u32,
}

impl MemberBody {
    /// A member, and whether the answering node hears from it.
    #[must_use]
    pub fn new(member: &ControlMember, in_touch: bool) -> Self {
        Self {
            node: NodeId(member.node_id).to_string(),
            internal_address: member.internal_address.clone(),
            operator_address: member.operator_address.clone(),
            zone: member.zone.clone(),
            in_touch,
        }
    }
}

impl From<&ShardStatus> for ShardBody {
    fn from(status: &ShardStatus) -> Self {
        let leader = NodeId(status.leader);
        let text = |node: &u64| NodeId(*node).to_string();
        Self {
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
}

impl From<&SessionStatus> for SessionBody {
    fn from(status: &SessionStatus) -> Self {
        Self {
            member: status.member.clone(),
            epoch: status.epoch,
            zone: status.zone.clone(),
            address: status.address.clone(),
            shown_revision: status.shown_revision,
        }
    }
}

impl From<&PoolPlacement> for PlacementBody {
    fn from(placement: &PoolPlacement) -> Self {
        Self {
            pool: placement.pool.clone(),
            epoch: placement.epoch,
            replicas: placement.replicas.iter().map(ReplicaBody::from).collect(),
        }
    }
}

impl From<&Replica> for ReplicaBody {
    fn from(replica: &Replica) -> Self {
        let state = match replica.state() {
            ReplicaState::ReplicaActive => "active",
            ReplicaState::ReplicaDraining => "draining",
        };
        Self {
            backend_id: replica.backend_id.clone(),
            model: replica.model.clone(),
            version: replica.version.clone(),
            state: state.to_owned(),
            weight_milli: replica.weight_milli,
        }
    }
}
