//! What happens to the gateway and what it wants done.

use millford_core::{NodeId, ShardId};

use crate::node_input::NodeInput;
use crate::node_output::NodeOutput;
use crate::shard::{ShardInput, ShardOutput};

/// One input of the gateway.
#[derive(Clone, Debug)]
pub enum GatewayInput {
    /// From outside the node.
    Node(NodeInput),
    /// From the core of a shard.
    Shard {
        /// Which shard.
        shard: ShardId,
        /// What the core wants done.
        output: ShardOutput,
    },
    /// The storage of a shard is corrupt: this identity cannot go on.
    StorageCorrupt,
}

/// One output of the gateway.
#[derive(Clone, Debug)]
pub enum GatewayOutput {
    /// To the outside of the node.
    Node(NodeOutput),
    /// To the core of a shard.
    Shard {
        /// Which shard.
        shard: ShardId,
        /// The input.
        input: ShardInput,
    },
    /// Open the shard's storage and start its core.
    StartShard(ShardStart),
    /// Stop every core and remove everything stored by them, before the next `StartShard`.
    EraseShards,
}

/// A shard whose core is to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardStart {
    /// Which shard.
    pub shard: ShardId,
    /// Identity of this node.
    pub identity: NodeId,
    /// The first voters; empty for a replica that is filled by its leader.
    pub voters: Vec<NodeId>,
    /// Data shards of the cluster.
    pub data_shards: u32,
}
