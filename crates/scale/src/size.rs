//! Fleet sizes of the scale test.

use serde::{Deserialize, Serialize};

/// Size of the fleet of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Number of nodes; each has an agent and a proxy.
    pub nodes: u32,
    /// Number of tenants in the configuration.
    pub tenants: u32,
    /// Number of backends in the registry, over all pools.
    pub backends: u32,
}

/// The planned fleet size that the system is designed for.
pub const PLANNED: FleetSize = FleetSize {
    nodes: 330,
    tenants: 16_000,
    backends: 1_200,
};

/// Sizes of a sweep. In some, nodes, tenants and backends grow together; in others only one of them is
/// large, so that the fit can separate their contributions.
pub const SWEEP: [FleetSize; 9] = [
    FleetSize::new(10, 500, 36),
    FleetSize::new(40, 2_000, 150),
    FleetSize::new(100, 4_800, 360),
    FleetSize::new(200, 9_600, 720),
    PLANNED,
    FleetSize::new(330, 500, 36),
    FleetSize::new(20, 16_000, 36),
    FleetSize::new(20, 500, 1_200),
    FleetSize::new(150, 500, 1_200),
];

impl FleetSize {
    /// Creates a size from its three counts.
    #[must_use]
    pub const fn new(nodes: u32, tenants: u32, backends: u32) -> Self {
        Self {
            nodes,
            tenants,
            backends,
        }
    }
}

impl std::fmt::Display for FleetSize {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            nodes,
            tenants,
            backends,
        } = self;
        write!(
            formatter,
            "{nodes} nodes, {tenants} tenants, {backends} backends"
        )
    }
}
