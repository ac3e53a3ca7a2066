//! Options of an agent, set once at startup.

use millford_core::Duration;

/// Identity of an agent and its initial control endpoints.
#[derive(Clone, Debug, Default)]
pub struct AgentOptions {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Availability zone of the node, as reported when the session is opened.
    pub zone: String,
    /// Address of the agent that operators are shown with the session.
    pub address: String,
    /// Address on which the local proxy exchanges messages with other proxies; empty if it does
    /// not.
    pub exchange_address: String,
    /// Random number chosen at process start, so that a restarted process opens a new session.
    pub boot_id: u64,
    /// Initial control endpoints (IP address and port): the configured seeds and the members saved
    /// by an earlier run.
    pub control_addresses: Vec<String>,
    /// Longest time after the termination signal for which a draining proxy is served.
    pub drain_timeout: Duration,
    /// Seed of the random order in which endpoints are tried.
    pub random_seed: u64,
}
