//! What a control node wants done.

use millford_api::internal::Frame;
use millford_core::ResultCode;

use crate::link::LinkId;
use crate::node_event::NodeEvent;
use crate::operator::OperatorReply;

/// One output of the node's logic.
#[derive(Clone, Debug)]
pub enum NodeOutput {
    /// Send a frame.
    Send {
        /// On this link.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// Open a connection; answered by `LinkOpened` or `LinkClosed`.
    Connect {
        /// Number of the new link.
        link: LinkId,
        /// IP address and port.
        address: String,
    },
    /// Close a link. No `LinkClosed` need follow.
    Close {
        /// The link.
        link: LinkId,
    },
    /// Answer an operator.
    OperatorReply {
        /// Number of the request.
        request: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// Something worth a line in the log.
    Event(NodeEvent),
    /// The node cannot go on; the process ends.
    Fatal {
        /// Why.
        code: ResultCode,
    },
}
