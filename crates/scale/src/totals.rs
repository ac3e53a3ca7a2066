//! Running totals at one moment; a rate is the difference between two of them.

use std::collections::BTreeMap;
use std::time::Instant;

/// Totals over all nodes and processes.
pub(crate) struct Totals {
    pub(crate) at: Instant,
    pub(crate) bytes_in: f64,
    pub(crate) bytes_by_kind: BTreeMap<&'static str, u64>,
    pub(crate) bytes_out: f64,
    pub(crate) frames: f64,
    pub(crate) agents_cpu: f64,
    pub(crate) agent_cpu: f64,
    pub(crate) agent_memory: f64,
    pub(crate) control_cpu: Vec<f64>,
    pub(crate) data_bytes: f64,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) claims: u64,
    pub(crate) claims_failed: u64,
    pub(crate) fail_overs: u64,
}
