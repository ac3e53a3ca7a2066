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
    StartShard {
        /// Which shard.
        shard: ShardId,
        /// Identity of this node.
        identity: NodeId,
        /// The first voters; empty for a replica that is filled by its leader.
        voters: Vec<NodeId>,
        /// Data shards of the cluster.
        data_shards: u32,
    },
    /// Stop every core and remove everything stored by them, before the next `StartShard`.
    EraseShards,
}
