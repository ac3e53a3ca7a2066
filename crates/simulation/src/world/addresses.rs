//! Addresses and ids of simulated machines and processes.

use crate::network::ProcessId;

/// Control nodes that name each other as seeds, from 1 on.
pub(super) const SEEDS: u16 = 3;
const CONTROL_PREFIX: &str = "10.0.1.";
const BACKEND_PREFIX: &str = "10.0.3.";
const INTERNAL_PORT: u16 = 7000;
const OPERATOR_PORT: u16 = 7001;
const BACKEND_PORT: u16 = 8000;
const BACKEND_ID_PREFIX: &str = "backend-";

/// Internal address of a control node.
pub(super) fn control_address(number: u16) -> String {
    format!("{CONTROL_PREFIX}{number}:{INTERNAL_PORT}")
}

/// Address of a control node for operators.
pub(super) fn operator_address(number: u16) -> String {
    format!("{CONTROL_PREFIX}{number}:{OPERATOR_PORT}")
}

/// The control node with an internal address. An address that nobody has gives one that is never
/// there, as good as a machine that is down.
pub(super) fn control_at(address: &str) -> ProcessId {
    ProcessId::Control(number_at(address, CONTROL_PREFIX).unwrap_or(u16::MAX))
}

/// Internal addresses that every process is started with.
pub(super) fn seed_addresses() -> Vec<String> {
    (1..=SEEDS).map(control_address).collect()
}

/// Address of an agent.
pub(super) fn agent_address(number: u16) -> String {
    format!("10.0.2.{number}:7100")
}

/// Address of a proxy for callers.
pub(super) fn caller_address(number: u16) -> String {
    format!("10.0.2.{number}:8080")
}

/// Address of a backend.
pub(super) fn backend_address(number: u16) -> String {
    format!("{BACKEND_PREFIX}{number}:{BACKEND_PORT}")
}

/// Number of the backend with an address.
pub(super) fn backend_at(address: &str) -> Option<u16> {
    number_at(address, BACKEND_PREFIX)
}

/// Id of a backend in the registry.
pub(super) fn backend_id(number: u16) -> String {
    format!("{BACKEND_ID_PREFIX}{number}")
}

/// Number of the backend with an id.
pub(super) fn backend_of_id(id: &str) -> Option<u16> {
    id.strip_prefix(BACKEND_ID_PREFIX)?.parse().ok()
}

fn number_at(address: &str, prefix: &str) -> Option<u16> {
    let rest = address.strip_prefix(prefix)?;
    rest.split(':').next()?.parse().ok()
}
