//! What happens to a control node.

use std::sync::Arc;

use millford_api::internal::Frame;
use millford_registry::RegistryView;

use crate::link::{LinkId, PeerKind};
use crate::operator::OperatorRequest;

/// One input of the node's logic.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// A frame arrived.
    Frame {
        /// On this link.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// A link is open: accepted, or requested by [`crate::NodeOutput::Connect`].
    LinkOpened {
        /// The link.
        link: LinkId,
        /// Which side opened it.
        peer: PeerKind,
    },
    /// A link closed or could not be opened.
    LinkClosed {
        /// The link.
        link: LinkId,
    },
    /// A request through the operator interface.
    Operator {
        /// Number for the answer.
        request: u64,
        /// The request.
        body: OperatorRequest,
    },
    /// The service registry was read.
    Registry(Arc<RegistryView>),
    /// [`crate::timing::TICK`] passed.
    Tick,
    /// The process shuts down: transfer the leaderships that can be transferred.
    Shutdown,
}
