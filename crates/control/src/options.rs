//! What a control node is started with.

use millford_core::Duration;

/// Voters of a shard when the settings name no other number: one may be lost.
pub const VOTERS_PER_SHARD: usize = 3;

/// Options of one control node.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Zone of the machine.
    pub zone: String,
    /// Address, IP and port, where control nodes and agents reach this node.
    pub internal_address: String,
    /// Address, IP and port, of the operator interface.
    pub operator_address: String,
    /// Internal addresses to begin with.
    pub seeds: Vec<String>,
    /// Data shards of a cluster that this node forms.
    pub data_shards: u32,
    /// Voters that a shard has when there are enough nodes: 2n + 1 of them bear the loss of n disks.
    pub voters_per_shard: usize,
    /// Inactivity after which a voter is replaced by a standby.
    pub replace_after: Duration,
    /// Seed of the node's random numbers; from the operating system in the daemon.
    pub seed: u64,
}
