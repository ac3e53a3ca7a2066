//! Faults drawn at random from the seed.

use std::time::Duration;

/// Class of faults that a draw may take from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultClass {
    /// Kills, freezes and simultaneous restarts of proxy nodes.
    ProxyNodes,
    /// Kills, freezes, wipes and replacements of control nodes.
    ControlNodes,
    /// Partitions and connection resets.
    Network,
    /// Disks that are slow, stall, are full or fail to sync.
    Disks,
    /// Monotonic clocks that drift.
    Clocks,
    /// Backends that crash, freeze, are retired or answer wrongly, and a registry that stops changing.
    Backends,
    /// Operators that race, lose replies, revoke keys or send many orders.
    Operators,
    /// Bursts of requests, and a single tenant that sends most of them.
    Load,
}

impl FaultClass {
    /// Every class, in the order of draws.
    pub const ALL: [FaultClass; 8] = [
        FaultClass::ProxyNodes,
        FaultClass::ControlNodes,
        FaultClass::Network,
        FaultClass::Disks,
        FaultClass::Clocks,
        FaultClass::Backends,
        FaultClass::Operators,
        FaultClass::Load,
    ];

    /// Returns the class that a keyword of the scenario files stands for.
    #[must_use]
    pub fn from_keyword(token: &str) -> Option<Self> {
        Some(match token {
            "fronts" => FaultClass::ProxyNodes,
            "cores" => FaultClass::ControlNodes,
            "network" => FaultClass::Network,
            "disks" => FaultClass::Disks,
            "clocks" => FaultClass::Clocks,
            "backends" => FaultClass::Backends,
            "operators" => FaultClass::Operators,
            "load" => FaultClass::Load,
            _ => return None,
        })
    }
}

/// A number of random faults within a span of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draw {
    /// Number of faults to draw.
    pub count: u32,
    /// Earliest start of a fault, from the start of the run.
    pub from: Duration,
    /// End of the span in which faults start, from the start of the run. Kills, freezes, partitions and disk
    /// faults also end within it.
    pub to: Duration,
    /// Classes to draw from, each with the same probability.
    pub classes: Vec<FaultClass>,
}
