//! What one size cost.

use serde::Serialize;

use crate::measure::Quantiles;
use crate::size::FleetSize;

/// Measurements of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SizeResult {
    /// Size of the run.
    pub size: Option<FleetSize>,
    /// Time from the first node's start until every node was complete, in seconds.
    pub boot_seconds: f64,
    /// Bytes that one node received while it started, on average.
    pub boot_bytes_per_node: f64,
    /// Length of the steady measurement, in seconds.
    pub steady_seconds: f64,
    /// Bytes a second from control to one node, framing included, TCP and IP not.
    pub node_bytes_in: f64,
    /// Bytes a second from one node to control.
    pub node_bytes_out: f64,
    /// Bytes a second of one node, both ways, by kind of frame.
    pub node_bytes_by_kind: std::collections::BTreeMap<&'static str, f64>,
    /// Frames a second, both ways, of one node.
    pub node_frames: f64,
    /// Processor time of one hollow agent, in percent of a core.
    pub node_cpu_percent: f64,
    /// Memory that one hollow agent adds to the rig, in bytes.
    pub node_memory_bytes: f64,
    /// Processor time of the real agent process, in percent of a core.
    pub real_agent_cpu_percent: f64,
    /// Resident memory of the real agent process, in bytes.
    pub real_agent_memory_bytes: f64,
    /// Processor time of the three control processes together, in percent of a core.
    pub control_cpu_percent: f64,
    /// Processor time of the busiest control process, in percent of a core.
    pub control_busiest_cpu_percent: f64,
    /// Resident memory of the largest control process, in bytes.
    pub control_memory_bytes: f64,
    /// Largest resident memory that a control process ever had, in bytes.
    pub control_peak_bytes: f64,
    /// Bytes of all data folders after the steady part.
    pub control_data_bytes: f64,
    /// Growth of all data folders, in bytes a second of the steady part.
    pub control_log_bytes: f64,
    /// Time from sending a change to a proxy's showing it, over proxies and changes, in milliseconds.
    pub change_ms: Quantiles,
    /// Time from sending a change until every proxy showed it, over changes, in milliseconds.
    pub change_everywhere_ms: Quantiles,
    /// Time from the kill of all control processes until every node was in touch with an open
    /// session again, in seconds; absent when not measured.
    pub return_seconds: Option<f64>,
    /// Time to an answer to a quota ask, in milliseconds.
    pub quota_ms: Quantiles,
    /// Asks granted in the steady part.
    pub quota_granted: u64,
    /// Asks refused in the steady part.
    pub quota_refused: u64,
    /// Claims answered in the steady part.
    pub claims: u64,
    /// Claims not granted in the steady part.
    pub claims_failed: u64,
    /// Control nodes left by hollow agents in the steady part; none should be.
    pub fail_overs: u64,
    /// Load average of the machine at the end: other work disturbs the figures.
    pub machine_load: f64,
}
