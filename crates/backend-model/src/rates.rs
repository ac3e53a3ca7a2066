//! Rates of progress while the set of runs and their phases stay the same.

use std::collections::BTreeMap;

use crate::options::BackendOptions;
use crate::profile::ModelProfile;

/// Share of the cores that decode leaves to prefill when both want them.
const PREFILL_FLOOR: f64 = 0.2;

/// Runs of one model by phase.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelRuns {
    pub prefills: usize,
    pub streams: usize,
}

/// Rates of one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rates {
    /// Core microseconds of prefill done per microsecond, for each prefilling run.
    pub prefill_cores_per_run: f64,
    /// Microseconds per token of each model's streams.
    pub token_micros: BTreeMap<String, f64>,
    /// Cores that work now.
    pub busy_cores: f64,
    /// Demand for cores over cores; at least 1 when any prefill runs.
    pub processor_utilization: f64,
    /// Demand for memory bandwidth at full pace over bandwidth.
    pub bandwidth_utilization: f64,
}

/// Works out the rates for the runs of a backend at a speed factor.
pub(crate) fn rates(
    options: &BackendOptions,
    profiles: &BTreeMap<String, ModelProfile>,
    runs: &BTreeMap<String, ModelRuns>,
    speed: f64,
) -> Rates {
    let prefills: usize = runs.values().map(|model| model.prefills).sum();
    let decode_wanted: f64 = runs
        .iter()
        .map(|(name, model)| profiles[name].decode_cores_per_stream * model.streams as f64)
        .sum();
    let decode_limit = if prefills > 0 {
        options.cores * (1.0 - PREFILL_FLOOR)
    } else {
        options.cores
    };
    let decode_granted = decode_wanted.min(decode_limit);
    let processor_slowdown = if decode_granted > 0.0 {
        decode_wanted / decode_granted
    } else {
        1.0
    };
    let prefill_cores = if prefills > 0 {
        options.cores - decode_granted
    } else {
        0.0
    };
    let bandwidth_utilization =
        bandwidth_demand(profiles, runs, prefill_cores, prefills) / options.bandwidth_gbps;
    let stall = options.curve.settled_slowdown(bandwidth_utilization);
    let token_micros = runs
        .iter()
        .filter(|(_, model)| model.streams > 0)
        .map(|(name, model)| {
            let step = profiles[name].step_micros(model.streams);
            (name.clone(), step * stall * processor_slowdown / speed)
        })
        .collect();
    Rates {
        prefill_cores_per_run: prefill_cores / prefills.max(1) as f64 / stall * speed,
        token_micros,
        busy_cores: decode_granted + prefill_cores,
        processor_utilization: (decode_wanted + prefill_cores) / options.cores,
        bandwidth_utilization,
    }
}

/// Memory traffic that the runs would cause at full pace, in GB/s.
fn bandwidth_demand(
    profiles: &BTreeMap<String, ModelProfile>,
    runs: &BTreeMap<String, ModelRuns>,
    prefill_cores: f64,
    prefills: usize,
) -> f64 {
    let cores_per_prefill = prefill_cores / prefills.max(1) as f64;
    runs.iter()
        .map(|(name, model)| {
            let profile = &profiles[name];
            let prefill = cores_per_prefill * model.prefills as f64 * profile.prefill_gbps_per_core;
            prefill + profile.decode_gbps(model.streams)
        })
        .sum()
}
