//! Events that an agent reacts to.

use millford_api::internal::Frame;
use millford_api::local::LocalFrame;

use crate::registry::RegistryView;

/// Number of a connection to a control node, given by the agent's core; never used twice.
pub type ControlLinkId = u64;

/// One event for the agent's core.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// The connection requested by [`crate::AgentOutput::Connect`] is up.
    LinkUp {
        /// Which connection.
        link: ControlLinkId,
    },
    /// The connection could not be made, or was lost.
    LinkDown {
        /// Which connection.
        link: ControlLinkId,
    },
    /// Bytes of an incomplete frame have arrived: the control node is active.
    LinkAlive {
        /// Which connection.
        link: ControlLinkId,
    },
    /// The control node sent a frame.
    ControlFrame {
        /// On which connection.
        link: ControlLinkId,
        /// What it sent.
        frame: Box<Frame>,
    },
    /// The proxy has connected; a previous connection of a proxy is closed.
    ProxyUp,
    /// The proxy's connection was lost.
    ProxyDown,
    /// The proxy sent a frame.
    ProxyFrame(Box<LocalFrame>),
    /// The registry's list, as requested by [`crate::AgentOutput::ReadRegistry`].
    Registry(RegistryView),
    /// The registry refused to give its list, or did not answer.
    RegistryFailed,
    /// Time passes. Due at the time that [`crate::AgentCore::next_tick`] names, or sooner.
    Tick,
    /// The process is to stop: close the session.
    Stop,
}
