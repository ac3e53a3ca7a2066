//! Options of a shard's core.

use std::sync::Arc;

use millford_core::{Duration, NodeId, ShardId, ShardLayout};
use millford_storage::Disk;

/// Opens the disk of a shard. Called again after a forced recovery.
pub type DiskOpener = Arc<dyn Fn() -> Box<dyn Disk> + Send + Sync>;

/// Options of a shard's core.
#[derive(Clone)]
pub struct ShardCoreOptions {
    /// The shard whose replica the core runs.
    pub shard: ShardId,
    /// Identity of this node.
    pub identity: NodeId,
    /// Initial voters; empty for a replica that receives its state from the leader.
    pub voters: Vec<NodeId>,
    /// Assignment of keys to the cluster's shards.
    pub layout: ShardLayout,
    /// Seed of the replica's random numbers, mixed with the node's identity and the shard.
    pub seed: u64,
    /// Number of voters of a complete group.
    pub voters_per_shard: usize,
    /// Time without contact after which a voter is replaced.
    pub replace_after: Duration,
    /// Opens the shard's folder.
    pub disk: DiskOpener,
}
