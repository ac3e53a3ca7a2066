//! Measurements of the run of one fleet size.

use serde::Serialize;

use crate::measure::Quantiles;
use crate::size::FleetSize;

/// Measurements of one run; the keys of `scale.json`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SizeResult {
    /// Fleet size of the run; `None` only in a default value.
    pub size: Option<FleetSize>,
    /// Time from the first node's start until every node had its complete state and a session, in seconds.
    pub boot_seconds: f64,
    /// Mean number of bytes that a node received from control while the fleet started.
    pub boot_bytes_per_node: f64,
    /// Duration of the measurement under steady traffic, in seconds.
    pub steady_seconds: f64,
    /// Bytes per second from control to one node, including framing, without TCP and IP headers.
    pub node_bytes_in: f64,
    /// Bytes per second from one node to control, including framing, without TCP and IP headers.
    pub node_bytes_out: f64,
    /// Bytes per second of one node in both directions, by kind of frame.
    pub node_bytes_by_kind: std::collections::BTreeMap<&'static str, f64>,
    /// Frames per second of one node in both directions.
    pub node_frames: f64,
    /// Processor time of one simulated node's agent, in percent of a core.
    pub node_cpu_percent: f64,
    /// Resident memory that one simulated node adds to the test harness, in bytes.
    pub node_memory_bytes: f64,
    /// Processor time of the real agent process, in percent of a core.
    pub real_agent_cpu_percent: f64,
    /// Resident memory of the real agent process, in bytes.
    pub real_agent_memory_bytes: f64,
    /// Total processor time of the three control processes, in percent of a core.
    pub control_cpu_percent: f64,
    /// Processor time of the busiest control process, in percent of a core.
    pub control_busiest_cpu_percent: f64,
    /// Resident memory of the largest control process, in bytes.
    pub control_memory_bytes: f64,
    /// Peak resident memory of any control process over the whole run, in bytes.
    pub control_peak_bytes: f64,
    /// Total size of the control processes' data folders after the steady measurement, in bytes.
    pub control_data_bytes: f64,
    /// Growth of the control processes' data folders during the steady measurement, in bytes per second.
    pub control_log_bytes: f64,
    /// Time from sending a configuration change until a proxy applied it, over all proxies and changes, in
    /// milliseconds.
    pub change_ms: Quantiles,
    /// Time from sending a configuration change until every proxy had applied it, over all changes, in
    /// milliseconds.
    pub change_everywhere_ms: Quantiles,
    /// Time from killing all control processes until every node was connected with a session again, in
    /// seconds; `None` when the restart was not measured.
    pub return_seconds: Option<f64>,
    /// Time from a quota request to its reply in the steady measurement, in milliseconds.
    pub quota_ms: Quantiles,
    /// Quota requests granted in the steady measurement.
    pub quota_granted: u64,
    /// Quota requests refused in the steady measurement.
    pub quota_refused: u64,
    /// Claims answered in the steady measurement, granted or not.
    pub claims: u64,
    /// Claims that were answered but not granted in the steady measurement.
    pub claims_failed: u64,
    /// Number of times that simulated agents switched to another control node in the steady measurement;
    /// expected to be 0.
    pub fail_overs: u64,
    /// One-minute load average of the machine at the end of the run. A high value suggests that other processes
    /// distorted the measurements.
    pub machine_load: f64,
}
