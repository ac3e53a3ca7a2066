//! Body of the response to `GET /v1/status`.

use serde::{Deserialize, Serialize};

/// Status of the control plane as the responding node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StatusReply {
    /// Identity of the responding node, in hexadecimal.
    pub node: String,
    /// Identity of the cluster, in hexadecimal; empty before it is formed.
    pub cluster: String,
    /// Configuration revision in force.
    pub revision: u64,
    /// Control nodes of the cluster.
    pub members: Vec<MemberBody>,
    /// Replica groups of the shards.
    pub shards: Vec<ShardBody>,
    /// Open sessions of agents and control nodes.
    pub sessions: Vec<SessionBody>,
    /// Placements of the pools' model replicas.
    pub placements: Vec<PlacementBody>,
}

/// Status of one control node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemberBody {
    /// Identity of the control node, in hexadecimal.
    pub node: String,
    /// IP address and port for control nodes and agents.
    pub internal_address: String,
    /// IP address and port of the operators' API.
    pub operator_address: String,
    /// Availability zone of the control node.
    pub zone: String,
    /// Whether the responding node is connected to this one.
    #[serde(rename = "in_touch")]
    pub connected: bool,
}

/// Status of one shard's replica group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShardBody {
    /// Shard number; shard 0 holds the configuration.
    pub shard: u32,
    /// Identity of the leader, in hexadecimal; empty while there is none.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// Identities of the voters, in hexadecimal.
    pub voters: Vec<String>,
    /// Identities of the learners, in hexadecimal.
    pub learners: Vec<String>,
}

/// Status of one open session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SessionBody {
    /// Name of the agent or control node.
    pub member: String,
    /// Epoch of the session.
    pub epoch: u64,
    /// Availability zone of the member.
    pub zone: String,
    /// IP address and port that the member gave when it opened the session.
    pub address: String,
    /// Configuration revision that the member has applied.
    #[serde(rename = "shown_revision")]
    pub applied_revision: u64,
}

/// Placement of one pool's model replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementBody {
    /// Name of the pool.
    pub pool: String,
    /// Fencing epoch of the placement role that decided the placement.
    pub epoch: u64,
    /// Replicas of the pool.
    pub replicas: Vec<ReplicaBody>,
}

/// One backend's replica of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicaBody {
    /// Identity of the backend.
    pub backend_id: String,
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// `active` or `draining`.
    pub state: String,
    /// Share of new work, in thousandths, relative to the weights of the pool's other replicas.
    pub weight_milli: u32,
}
