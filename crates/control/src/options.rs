//! Options of a control node.

use millford_core::Duration;

/// Default number of voters of a shard, which tolerates the loss of one.
pub const VOTERS_PER_SHARD: usize = 3;

/// Options of one control node.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Zone of the machine.
    pub zone: String,
    /// IP address and port at which control nodes and agents reach this node.
    pub internal_address: String,
    /// IP address and port of the operator interface.
    pub operator_address: String,
    /// Internal addresses of the control nodes to contact first.
    pub seeds: Vec<String>,
    /// Number of data shards of a cluster that this node forms.
    pub data_shards: u32,
    /// Number of voters of a shard if there are enough nodes; 2n + 1 voters tolerate the loss of n
    /// disks.
    pub voters_per_shard: usize,
    /// Time without contact after which a voter is replaced by a standby.
    pub replace_after: Duration,
    /// Seed of the node's random numbers. The daemon takes it from the operating system.
    pub seed: u64,
}
