//! Cumulative totals at one moment; rates are computed from the difference between two of them.

use std::collections::BTreeMap;
use std::time::Instant;

/// Cumulative totals over all simulated nodes and processes. Processor times are in seconds.
pub(crate) struct Totals {
    pub(crate) at: Instant,
    pub(crate) bytes_in: f64,
    pub(crate) bytes_by_kind: BTreeMap<&'static str, u64>,
    pub(crate) bytes_out: f64,
    pub(crate) frames: f64,
    pub(crate) simulated_agents_cpu_seconds: f64,
    pub(crate) real_agent_cpu_seconds: f64,
    pub(crate) real_agent_memory_bytes: f64,
    pub(crate) control_cpu: Vec<f64>,
    pub(crate) data_bytes: f64,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) claims: u64,
    pub(crate) claims_failed: u64,
    pub(crate) fail_overs: u64,
}
