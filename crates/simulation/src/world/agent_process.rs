//! The agent of a proxy node.

use std::collections::BTreeMap;

use millford_agent::AgentCore;

use crate::network::LinkNumber;
use crate::world::process::ProcessState;

/// An agent and the names it gave to its connections.
pub struct AgentProcess {
    /// The process.
    pub process: ProcessState,
    /// The agent while the process runs.
    pub core: Option<AgentCore>,
    /// The agent's numbers of its connections to control nodes.
    pub ids: BTreeMap<LinkNumber, u64>,
    /// Connections by the agent's numbers.
    pub numbers: BTreeMap<u64, LinkNumber>,
    /// Connection of the proxy.
    pub proxy: Option<LinkNumber>,
    /// Control addresses saved on disk, if the machine has one.
    pub saved_addresses: Vec<String>,
    /// Whether the agent last said that it is connected.
    pub recorded_connected: bool,
}

impl AgentProcess {
    /// An agent that was not started yet.
    #[must_use]
    pub fn new(process: ProcessState) -> Self {
        Self {
            process,
            core: None,
            ids: BTreeMap::new(),
            numbers: BTreeMap::new(),
            proxy: None,
            saved_addresses: Vec::new(),
            recorded_connected: false,
        }
    }

    /// Names a connection.
    pub fn name_link(&mut self, number: LinkNumber, id: u64) {
        self.ids.insert(number, id);
        self.numbers.insert(id, number);
    }

    /// Forgets a connection.
    pub fn forget_link(&mut self, number: LinkNumber) -> Option<u64> {
        let id = self.ids.remove(&number)?;
        self.numbers.remove(&id);
        Some(id)
    }

    /// Forgets the core and its connections.
    pub fn forget_incarnation(&mut self) {
        self.core = None;
        self.ids.clear();
        self.numbers.clear();
        self.proxy = None;
    }
}
