//! Input events of the agent's core.

use millford_api::internal::Frame;
use millford_api::local::LocalFrame;

use crate::registry::RegistryView;

/// Identifier of a connection to a control node, assigned by the agent's core and never reused.
pub type ControlLinkId = u64;

/// One event for the agent's core.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// The connection requested by [`crate::AgentOutput::Connect`] is established.
    LinkUp {
        /// Identifier from the `Connect` request.
        link: ControlLinkId,
    },
    /// The connection could not be established, or was lost.
    LinkDown {
        /// Identifier from the `Connect` request.
        link: ControlLinkId,
    },
    /// Further bytes of an incomplete frame have arrived, which resets the inactivity timeout.
    LinkProgress {
        /// Connection that received the bytes.
        link: ControlLinkId,
    },
    /// The control node sent a frame.
    ControlFrame {
        /// Connection that received the frame.
        link: ControlLinkId,
        /// The decoded frame.
        frame: Box<Frame>,
    },
    /// The proxy connected. Any previous connection from a proxy is already closed.
    ProxyUp,
    /// The proxy's connection was lost.
    ProxyDown,
    /// The proxy sent a frame.
    ProxyFrame(Box<LocalFrame>),
    /// A read of the service registry, requested by [`crate::AgentOutput::ReadRegistry`],
    /// succeeded.
    Registry(RegistryView),
    /// A read of the service registry failed or timed out.
    RegistryFailed,
    /// The seeds in the settings, read again while the process runs.
    Seeds(Vec<String>),
    /// Time has passed. Sent no later than the time that [`crate::AgentCore::next_tick`] returns.
    Tick,
    /// The process is shutting down; the agent closes its session once its proxy no longer needs it.
    Stop,
}
