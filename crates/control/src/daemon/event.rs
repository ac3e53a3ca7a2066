//! Events for the gateway's thread.

use std::sync::mpsc;

use millford_api::internal::Frame;
use millford_core::ShardId;
use millford_storage::StorageError;
use tokio::sync::{OwnedSemaphorePermit, mpsc as async_mpsc, oneshot};

use crate::link::LinkId;
use crate::node_input::NodeInput;
use crate::operator::{OperatorReply, OperatorRequest};
use crate::shard::ShardOutput;

/// Number of a shard's thread, by which the outputs of a stopped thread are recognized and
/// dropped.
pub type Generation = u64;

/// One event for the gateway's thread.
pub enum GatewayEvent {
    /// An input of the node's logic.
    Input(NodeInput),
    /// A received frame.
    Frame {
        /// Number of the link.
        link: LinkId,
        /// The frame.
        frame: Box<Frame>,
        /// Room in the queue, which is released when the frame is handled.
        permit: OwnedSemaphorePermit,
    },
    /// The send queue of an open link.
    Link {
        /// Number of the link.
        link: LinkId,
        /// Queue for the frames to be sent. The link is closed when it is dropped.
        writer: async_mpsc::Sender<Frame>,
    },
    /// Outputs of a shard's core.
    Shard {
        /// The shard that the core runs.
        shard: ShardId,
        /// Number of the core's thread.
        generation: Generation,
        /// The outputs of one flush.
        outputs: Vec<ShardOutput>,
    },
    /// A shard's storage could not be opened.
    OpenFailed {
        /// Number of the shard's thread.
        generation: Generation,
        /// The error of the storage.
        error: StorageError,
    },
    /// A request of an operator.
    Operator {
        /// The request, already parsed and validated.
        body: OperatorRequest,
        /// Receives the reply.
        answer: oneshot::Sender<OperatorReply>,
    },
}

/// Sending half of the queue of the gateway's thread.
pub type GatewayQueue = mpsc::Sender<GatewayEvent>;
