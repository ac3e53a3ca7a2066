//! Inputs and outputs of the gateway.

use millford_core::{NodeId, ShardId};

use crate::node_input::NodeInput;
use crate::node_output::NodeOutput;
use crate::shard::{ShardInput, ShardOutput};

/// One input of the gateway.
#[derive(Clone, Debug)]
pub enum GatewayInput {
    /// An input from outside the node.
    Node(NodeInput),
    /// An output of a shard's core.
    Shard {
        /// The shard that the core runs.
        shard: ShardId,
        /// The core's output.
        output: ShardOutput,
    },
    /// The storage of a shard is corrupt, so that the node must start over under a new identity.
    StorageCorrupt,
}

/// One output of the gateway.
#[derive(Clone, Debug)]
pub enum GatewayOutput {
    /// An output to the outside of the node.
    Node(NodeOutput),
    /// An input for a shard's core.
    Shard {
        /// The shard that the core runs.
        shard: ShardId,
        /// The core's input.
        input: ShardInput,
    },
    /// Open the shard's storage and start its core.
    StartShard(ShardStart),
    /// Stop every core and erase its storage, before the next `StartShard`.
    EraseShards,
}

/// A shard whose core is to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardStart {
    /// The shard to start.
    pub shard: ShardId,
    /// Identity of this node.
    pub identity: NodeId,
    /// The initial voters; empty for a replica that receives its state from the leader.
    pub voters: Vec<NodeId>,
    /// Number of data shards of the cluster.
    pub data_shards: u32,
}
