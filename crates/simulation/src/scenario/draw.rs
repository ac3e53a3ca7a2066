//! Faults drawn by the seed.

use std::time::Duration;

/// Classes of faults that a draw may take from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultClass {
    /// Kills, freezes and herds of proxy nodes.
    ProxyNodes,
    /// Kills, freezes, wipes and replacements of control nodes, one at a time.
    ControlNodes,
    /// Cuts and resets.
    Network,
    /// Disks that stall, slow, fill or fail.
    Disks,
    /// Clocks that jump or drift.
    Clocks,
    /// Backends that crash, go dark, are retired or answer wrongly.
    Backends,
    /// Operators that race, lose answers, revoke keys.
    Operators,
    /// Bursts and hot tenants.
    Load,
}

impl FaultClass {
    /// Every class.
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

    /// The class with this keyword of the scenario files.
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

/// Draws a number of faults between two times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draw {
    /// How many.
    pub count: u32,
    /// Earliest time.
    pub from: Duration,
    /// Latest time.
    pub to: Duration,
    /// Classes to draw from.
    pub classes: Vec<FaultClass>,
}
