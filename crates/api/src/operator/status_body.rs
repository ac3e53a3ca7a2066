//! Answer to `GET /v1/status`.

use serde::{Deserialize, Serialize};

/// The control plane as the answering node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StatusReply {
    /// Identity of the answering node, in hexadecimal.
    pub node: String,
    /// Identity of the cluster, in hexadecimal; empty before it is formed.
    pub cluster: String,
    /// Number of the configuration in force.
    pub revision: u64,
    /// The control nodes.
    pub members: Vec<MemberBody>,
    /// The shards and their leaders.
    pub shards: Vec<ShardBody>,
    /// Open sessions of agents and control nodes.
    pub sessions: Vec<SessionBody>,
    /// Replicas by pool.
    pub placements: Vec<PlacementBody>,
}

/// One control node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemberBody {
    /// Identity, in hexadecimal.
    pub node: String,
    /// Address for control nodes and agents.
    pub internal_address: String,
    /// Address for operators.
    pub operator_address: String,
    /// Zone.
    pub zone: String,
    /// Whether the answering node is connected to it.
    #[serde(rename = "in_touch")]
    pub connected: bool,
}

/// One shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShardBody {
    /// Number of the shard; 0 holds the configuration.
    pub shard: u32,
    /// Identity of the leader, in hexadecimal; empty when there is none now.
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

/// One session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SessionBody {
    /// Name of the agent or control node.
    pub member: String,
    /// Epoch of the session.
    pub epoch: u64,
    /// Zone.
    pub zone: String,
    /// Address.
    pub address: String,
    /// Configuration revision that the member has applied.
    #[serde(rename = "shown_revision")]
    pub applied_revision: u64,
}

/// Replicas of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementBody {
    /// Name of the pool.
    pub pool: String,
    /// Epoch of the placement role.
    pub epoch: u64,
    /// The replicas.
    pub replicas: Vec<ReplicaBody>,
}

/// One replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
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
