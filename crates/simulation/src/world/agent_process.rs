//! The agent of a proxy node.

use millford_agent::AgentCore;

use crate::network::LinkNumber;
use crate::world::link_names::LinkNames;
use crate::world::process::ProcessState;

/// An agent and its connections.
pub struct AgentProcess {
    /// The process.
    pub process: ProcessState,
    /// The agent while the process runs.
    pub core: Option<AgentCore>,
    /// The agent's numbers of its connections to control nodes.
    pub links: LinkNames<u64>,
    /// Connection of the proxy.
    pub proxy: Option<LinkNumber>,
    /// Addresses of control nodes saved on disk.
    pub saved_addresses: Vec<String>,
    /// Whether the agent was connected as last recorded.
    recorded_connected: bool,
}

impl AgentProcess {
    /// An agent that was not started yet.
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

    /// Takes over whether the agent is connected. Returns whether that is a change to be recorded.
    pub fn update_connected(&mut self, connected: bool) -> bool {
        std::mem::replace(&mut self.recorded_connected, connected) != connected
    }

    /// Forgets the agent and its connections.
    pub fn forget_incarnation(&mut self) {
        self.core = None;
        self.links.clear();
        self.proxy = None;
    }
}
