//! State of a simulated agent.

use millford_agent::AgentCore;

use crate::network::LinkNumber;
use crate::world::link_names::LinkNames;
use crate::world::process::ProcessState;

/// An agent and its connections.
pub struct AgentProcess {
    /// Incarnation, clock and queued inputs.
    pub process: ProcessState,
    /// The agent's logic; absent while the process does not run.
    pub core: Option<AgentCore>,
    /// Connections to control nodes, by the agent's own numbers.
    pub links: LinkNames<u64>,
    /// Connection from the proxy, if there is one.
    pub proxy: Option<LinkNumber>,
    /// Addresses of control nodes that the agent saved on its disk.
    pub saved_addresses: Vec<String>,
    /// Last recorded connectivity to the control plane.
    recorded_connected: bool,
}

impl AgentProcess {
    /// Creates an agent that has not started.
    #[must_use]
    pub fn new(process: ProcessState) -> Self {
        Self {
            process,
            core: None,
            links: LinkNames::default(),
            proxy: None,
            saved_addresses: Vec::new(),
            recorded_connected: false,
        }
    }

    /// Updates the connectivity to the control plane. Returns whether it changed and must be recorded.
    pub fn update_connected(&mut self, connected: bool) -> bool {
        std::mem::replace(&mut self.recorded_connected, connected) != connected
    }

    /// Drops the agent's logic and its connections; the saved addresses are kept.
    pub fn forget_incarnation(&mut self) {
        self.core = None;
        self.links.clear();
        self.proxy = None;
    }
}
