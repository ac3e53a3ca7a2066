//! Outputs of a control node.

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
        /// Link to send it on.
        link: LinkId,
        /// The frame to send.
        frame: Frame,
    },
    /// Open a connection; answered by [`crate::NodeInput::LinkOpened`] or
    /// [`crate::NodeInput::LinkClosed`].
    Connect {
        /// Number of the new link.
        link: LinkId,
        /// IP address and port of the other control node.
        address: String,
    },
    /// Close a link. [`crate::NodeInput::LinkClosed`] may follow but does not have to.
    Close {
        /// Number of the link.
        link: LinkId,
    },
    /// Answer an operator.
    OperatorReply {
        /// Number of the request.
        request: u64,
        /// The reply to be sent.
        reply: OperatorReply,
    },
    /// An event for the log.
    Event(NodeEvent),
    /// A fatal error, after which the process must exit.
    Fatal {
        /// Result code of the error.
        code: ResultCode,
    },
}
