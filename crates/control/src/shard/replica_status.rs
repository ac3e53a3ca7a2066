//! What the gateway needs to know about a shard's replica.

use millford_core::{NodeId, ShardId};

/// Role and touch of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardReplicaStatus {
    /// The shard.
    pub shard: ShardId,
    /// This replica leads.
    pub leads: bool,
    /// The leader as this replica knows it.
    pub leader: NodeId,
    /// The replica's term.
    pub term: u64,
    /// In touch with the shard's quorum, directly or through its leader.
    pub has_quorum: bool,
    /// The group does not hold this replica any more.
    pub removed: bool,
    /// The replicas that vote, in this replica's log.
    pub voters: Vec<NodeId>,
    /// The replicas that only receive.
    pub learners: Vec<NodeId>,
    /// Committed index.
    pub commit_index: u64,
}

impl ShardReplicaStatus {
    /// Standing of a replica that knows nothing yet.
    #[must_use]
    pub fn unknown(shard: ShardId) -> Self {
        Self {
            shard,
            leads: false,
            leader: NodeId::NONE,
            term: 0,
            has_quorum: false,
            removed: false,
            voters: Vec::new(),
            learners: Vec::new(),
            commit_index: 0,
        }
    }

    /// Whether the two differ in more than the committed index.
    #[must_use]
    pub fn differs(&self, other: &ShardReplicaStatus) -> bool {
        let same_index = ShardReplicaStatus {
            commit_index: other.commit_index,
            ..self.clone()
        };
        same_index != *other
    }
}
