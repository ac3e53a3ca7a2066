//! What an agent is told at its start.

/// Identity and starting points of an agent.
#[derive(Clone, Debug, Default)]
pub struct AgentOptions {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address shown to operators beside the session.
    pub address: String,
    /// Where the proxy beside the agent exchanges news with other proxies; empty: it does not.
    pub exchange_address: String,
    /// Random number minted at process start: a restart is a new session.
    pub boot_id: u64,
    /// Control addresses to begin with: seeds, and members kept from an earlier run.
    pub control_addresses: Vec<String>,
    /// Seed of the random numbers for the order of addresses and for delays.
    pub random_seed: u64,
}
