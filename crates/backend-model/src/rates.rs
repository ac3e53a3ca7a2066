//! Rates of progress; constant while the set of runs and their phases stay the same.

use std::collections::BTreeMap;

use crate::options::BackendOptions;
use crate::profile::ModelProfile;

/// Share of the cores reserved for prefill while decode competes with it.
const MIN_PREFILL_SHARE: f64 = 0.2;

/// Number of one model's runs in each phase.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelRuns {
    pub(crate) prefills: usize,
    pub(crate) streams: usize,
}

/// Rates of progress between two events.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rates {
    /// Core microseconds of prefill done per microsecond, for each prefilling run.
    pub(crate) prefill_cores_per_run: f64,
    /// Microseconds per token of a stream, by model; holds only models with a stream.
    pub(crate) token_micros: BTreeMap<String, f64>,
    /// Cores in use by decode and prefill.
    pub(crate) busy_cores: f64,
    /// Demand for cores, as a share of the cores; at least 1 when any prefill runs.
    pub(crate) processor_utilization: f64,
    /// Demand for memory bandwidth at full pace, as a share of the bandwidth.
    pub(crate) bandwidth_utilization: f64,
}

/// Split of the cores between decode and prefill.
struct CoreShares {
    /// Cores that decode would use without a limit.
    decode_demand: f64,
    /// Cores that decode uses.
    decode: f64,
    /// Cores that prefill uses.
    prefill: f64,
}

impl CoreShares {
    /// Gives decode priority, but reserves [`MIN_PREFILL_SHARE`] while any run is in prefill. Prefill uses all
    /// cores that decode does not use.
    fn new(cores: f64, decode_demand: f64, prefills: usize) -> Self {
        let decode_limit = if prefills > 0 {
            cores * (1.0 - MIN_PREFILL_SHARE)
        } else {
            cores
        };
        let decode = decode_demand.min(decode_limit);
        let prefill = if prefills > 0 { cores - decode } else { 0.0 };
        Self {
            decode_demand,
            decode,
            prefill,
        }
    }

    /// Returns the factor by which a shortage of cores lengthens a decode step; at least 1.
    fn decode_slowdown(&self) -> f64 {
        if self.decode > 0.0 {
            self.decode_demand / self.decode
        } else {
            1.0
        }
    }
}

/// Computes the rates for a backend's runs at a speed factor (1 is normal speed).
pub(crate) fn rates(
    options: &BackendOptions,
    profiles: &BTreeMap<String, ModelProfile>,
    runs: &BTreeMap<String, ModelRuns>,
    speed: f64,
) -> Rates {
    let prefills: usize = runs.values().map(|model| model.prefills).sum();
    let decode_demand: f64 = runs
        .iter()
        .map(|(name, model)| profiles[name].decode_cores_per_stream * model.streams as f64)
        .sum();
    let shares = CoreShares::new(options.cores, decode_demand, prefills);
    let bandwidth_utilization =
        bandwidth_demand(profiles, runs, shares.prefill, prefills) / options.bandwidth_gbps;
    let stall = options.curve.steady_state_slowdown(bandwidth_utilization);
    let decode_slowdown = shares.decode_slowdown();
    let token_micros = runs
        .iter()
        .filter(|(_, model)| model.streams > 0)
        .map(|(name, model)| {
            let step = profiles[name].step_micros(model.streams);
            (name.clone(), step * stall * decode_slowdown / speed)
        })
        .collect();
    Rates {
        prefill_cores_per_run: shares.prefill / prefills.max(1) as f64 / stall * speed,
        token_micros,
        busy_cores: shares.decode + shares.prefill,
        processor_utilization: (decode_demand + shares.prefill) / options.cores,
        bandwidth_utilization,
    }
}

/// Returns the memory traffic that the runs would cause without stalls, in GB/s.
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
