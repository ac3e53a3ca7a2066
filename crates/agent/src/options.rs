//! Options of an agent, fixed at its start.

/// Identity of an agent, and the control nodes that it starts from.
#[derive(Clone, Debug, Default)]
pub struct AgentOptions {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address shown to operators beside the session.
    pub address: String,
    /// Where the proxy beside the agent exchanges messages with other proxies; empty: it does not.
    pub exchange_address: String,
    /// Random number minted at process start: a restart is a new session.
    pub boot_id: u64,
    /// Control endpoints to start with: seeds, and members saved by an earlier run.
    pub control_addresses: Vec<String>,
    /// Seed of the random order in which the endpoints are tried.
    pub random_seed: u64,
}
