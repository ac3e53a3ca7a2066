//! Output actions of the agent's core.

use millford_api::internal::Frame;
use millford_api::local::LocalFrame;
use millford_api::state::ControlMember;

use crate::input::ControlLinkId;

/// One action that the driver of the agent's core has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Connect to a control node and report [`crate::AgentInput::LinkUp`] or
    /// [`crate::AgentInput::LinkDown`].
    Connect {
        /// Identifier of the new connection.
        link: ControlLinkId,
        /// IP address and port of the control node.
        address: String,
    },
    /// Send a frame to the control node.
    SendControl {
        /// Connection to send on; the frame is dropped if it is no longer open.
        link: ControlLinkId,
        /// Frame to send.
        frame: Box<Frame>,
    },
    /// Close a connection, or cancel one that is still being established. The driver need not
    /// report [`crate::AgentInput::LinkDown`].
    CloseControl {
        /// Connection to close.
        link: ControlLinkId,
    },
    /// Send a frame to the proxy. State and status frames take priority over queued replies.
    SendProxy(Box<LocalFrame>),
    /// Read the service registry and report [`crate::AgentInput::Registry`], or
    /// [`crate::AgentInput::RegistryFailed`].
    ReadRegistry,
    /// Read the seeds of the settings again and report [`crate::AgentInput::Seeds`], if that is possible: no known
    /// control node can be reached.
    ReadSeeds,
    /// Persist the changed list of control members for the next start.
    SaveMembers(Vec<ControlMember>),
    /// The session is closed, or closing it timed out; the process may exit.
    Stopped,
}
