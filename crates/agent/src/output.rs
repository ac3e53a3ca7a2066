//! Actions that an agent requests from its driver.

use millford_api::internal::Frame;
use millford_api::local::LocalFrame;
use millford_api::state::ControlMember;

use crate::input::ControlLinkId;

/// One action for the driver of the agent's core.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Connect to a control node and report [`crate::AgentInput::LinkUp`] or [`crate::AgentInput::LinkDown`].
    Connect {
        /// Number of the new connection.
        link: ControlLinkId,
        /// IP address and port.
        address: String,
    },
    /// Send to the control node.
    SendControl {
        /// On which connection.
        link: ControlLinkId,
        /// What to send.
        frame: Box<Frame>,
    },
    /// Close a connection, also one that is not up yet. No `LinkDown` is needed.
    CloseControl {
        /// Which connection.
        link: ControlLinkId,
    },
    /// Send to the proxy. State and status go before replies that wait to be written.
    SendProxy(Box<LocalFrame>),
    /// Read the service registry and report [`crate::AgentInput::Registry`], or
    /// [`crate::AgentInput::RegistryFailed`].
    ReadRegistry,
    /// The control members changed: save them for the next start.
    SaveMembers(Vec<ControlMember>),
    /// The session is closed, or the time for that has passed: the process may end.
    Stopped,
}
