//! What reaches the gateway's thread.

use std::sync::mpsc;

use millford_api::internal::Frame;
use millford_core::ShardId;
use millford_storage::StorageError;
use tokio::sync::{mpsc as async_mpsc, oneshot};

use crate::link::LinkId;
use crate::node_input::NodeInput;
use crate::operator::{OperatorReply, OperatorRequest};
use crate::shard::ShardOutput;

/// Number of a shard's thread. Outputs of one that was stopped are dropped.
pub type Generation = u64;

/// One event of the gateway's thread.
pub enum GatewayEvent {
    /// An input of the node's logic.
    Input(NodeInput),
    /// A link is open; frames to it go to this queue.
    Link {
        /// The link.
        link: LinkId,
        /// Its queue.
        writer: async_mpsc::Sender<Frame>,
    },
    /// A shard's core wants this done.
    Shard {
        /// The shard.
        shard: ShardId,
        /// Its thread.
        generation: Generation,
        /// The outputs of one flush.
        outputs: Vec<ShardOutput>,
    },
    /// A shard's storage could not be opened.
    OpenFailed {
        /// Its thread.
        generation: Generation,
        /// Why.
        error: StorageError,
    },
    /// A request of an operator.
    Operator {
        /// What.
        body: OperatorRequest,
        /// For the answer.
        answer: oneshot::Sender<OperatorReply>,
    },
}

/// Queue to the gateway's thread.
pub type GatewayQueue = mpsc::Sender<GatewayEvent>;
