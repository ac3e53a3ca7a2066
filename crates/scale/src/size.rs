//! How large a fleet is.

use serde::{Deserialize, Serialize};

/// Size of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Nodes: an agent and a proxy each.
    pub nodes: u32,
    /// Tenants in the configuration.
    pub tenants: u32,
    /// Backends in the registry, over all pools.
    pub backends: u32,
}

/// The size to design for.
pub const PLANNED: FleetSize = FleetSize {
    nodes: 330,
    tenants: 16_000,
    backends: 1_200,
};

/// Sizes of a sweep. Some grow together, some in one direction only, so that what a node, a
/// tenant and a backend add can be told apart.
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
    /// A size.
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
