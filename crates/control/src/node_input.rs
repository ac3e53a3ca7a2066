//! Inputs of a control node.

use std::sync::Arc;

use millford_api::internal::Frame;
use millford_registry::RegistryView;

use crate::link::{LinkId, PeerKind};
use crate::operator::OperatorRequest;

/// One input of the node's logic.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// A received frame.
    Frame {
        /// Link on which the frame arrived.
        link: LinkId,
        /// The frame as decoded.
        frame: Frame,
    },
    /// A link is open: accepted, or requested by [`crate::NodeOutput::Connect`].
    LinkOpened {
        /// Number of the link.
        link: LinkId,
        /// The side that opened it.
        peer: PeerKind,
    },
    /// A link closed or could not be opened.
    LinkClosed {
        /// Number of the link.
        link: LinkId,
    },
    /// A request through the operator interface.
    Operator {
        /// Number that the reply carries.
        request: u64,
        /// The request, already parsed and validated.
        body: OperatorRequest,
    },
    /// A new view of the service registry.
    Registry(Arc<RegistryView>),
    /// Internal addresses of control nodes, as the settings name them now.
    Seeds(Vec<String>),
    /// The periodic tick, every [`crate::timing::TICK`].
    Tick,
    /// The process shuts down, so that leaderships are to be transferred where possible.
    Shutdown,
}
