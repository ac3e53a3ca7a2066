//! Mapping between the numbers of simulated processes and their addresses and ids.

use crate::network::ProcessId;

/// Control nodes from 1 to this number have each other's addresses as seeds.
pub(super) const SEEDS: u16 = 3;
const CONTROL_PREFIX: &str = "10.0.1.";
const BACKEND_PREFIX: &str = "10.0.3.";
const INTERNAL_PORT: u16 = 7000;
const OPERATOR_PORT: u16 = 7001;
const BACKEND_PORT: u16 = 8000;
const BACKEND_ID_PREFIX: &str = "backend-";

/// Returns the internal address of a control node.
pub(super) fn control_address(number: u16) -> String {
    format!("{CONTROL_PREFIX}{number}:{INTERNAL_PORT}")
}

/// Returns the operator address of a control node.
pub(super) fn operator_address(number: u16) -> String {
    format!("{CONTROL_PREFIX}{number}:{OPERATOR_PORT}")
}

/// Returns the control node with an internal address. For an unknown address it returns a process that
/// does not exist, which behaves like one on a machine that is down.
pub(super) fn control_at(address: &str) -> ProcessId {
    ProcessId::Control(number_at(address, CONTROL_PREFIX).unwrap_or(u16::MAX))
}

/// Returns the internal addresses of the seed control nodes.
pub(super) fn seed_addresses() -> Vec<String> {
    (1..=SEEDS).map(control_address).collect()
}

/// Returns the address of an agent.
pub(super) fn agent_address(number: u16) -> String {
    format!("10.0.2.{number}:7100")
}

/// Returns the address of a proxy for callers.
pub(super) fn caller_address(number: u16) -> String {
    format!("10.0.2.{number}:8080")
}

/// Returns the address of a backend.
pub(super) fn backend_address(number: u16) -> String {
    format!("{BACKEND_PREFIX}{number}:{BACKEND_PORT}")
}

/// Returns the number of the backend with an address; `None` if it is not one of a backend.
pub(super) fn backend_at(address: &str) -> Option<u16> {
    number_at(address, BACKEND_PREFIX)
}

/// Returns the id of a backend in the registry.
pub(super) fn backend_id(number: u16) -> String {
    format!("{BACKEND_ID_PREFIX}{number}")
}

/// Returns the number of the backend with an id; `None` if it is not one of a backend.
pub(super) fn backend_of_id(id: &str) -> Option<u16> {
    id.strip_prefix(BACKEND_ID_PREFIX)?.parse().ok()
}

fn number_at(address: &str, prefix: &str) -> Option<u16> {
    let rest = address.strip_prefix(prefix)?;
    rest.split(':').next()?.parse().ok()
}
