//! What the core of a shard is opened with.

use std::sync::Arc;

use millford_core::{Duration, NodeId, ShardId, ShardLayout};
use millford_storage::Disk;

/// Opens the disk of a shard, again after a forced recovery.
pub type DiskOpener = Arc<dyn Fn() -> Box<dyn Disk> + Send + Sync>;

/// Everything a core is opened with.
#[derive(Clone)]
pub struct ShardCoreOptions {
    /// The shard.
    pub shard: ShardId,
    /// Identity of this node.
    pub identity: NodeId,
    /// First voters; empty for a replica that its leader fills.
    pub voters: Vec<NodeId>,
    /// Layout of the cluster.
    pub layout: ShardLayout,
    /// Seed of the replica's random numbers.
    pub seed: u64,
    /// Voters of a complete group.
    pub voters_per_shard: usize,
    /// Inactivity after which a voter is replaced.
    pub replace_after: Duration,
    /// Opens the shard's disk.
    pub disk: DiskOpener,
}
