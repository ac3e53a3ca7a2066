//! The emulated backend.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

use crate::event::{BackendEvent, RunRefused, RunRequest, RunStarted};
use crate::options::BackendOptions;
use crate::prefix_cache::PrefixCache;
use crate::profile::ModelProfile;
use crate::rates::{Rates, rates};
use crate::run::{Phase, Run};
use crate::run_table::{ROUNDING, RunTable};

/// A simulated backend that runs prompts of several models. It reads no clock: the caller passes the time.
#[derive(Clone, Debug)]
pub struct EmulatedBackend {
    options: BackendOptions,
    profiles: BTreeMap<String, ModelProfile>,
    runs: RunTable,
    cache: PrefixCache,
    speed: f64,
    now: MonotonicTime,
    rates: Rates,
    busy_core_micros: f64,
}

impl EmulatedBackend {
    /// Creates a backend at time `now`, with no model loaded and no run open.
    #[must_use]
    pub fn new(options: BackendOptions, now: MonotonicTime) -> Self {
        Self {
            options,
            profiles: BTreeMap::new(),
            runs: RunTable::default(),
            cache: PrefixCache::new(options.cache_blocks),
            speed: 1.0,
            now,
            rates: Rates::default(),
            busy_core_micros: 0.0,
        }
    }

    /// Loads a model, or replaces its profile. Runs of the model are accepted from this call on.
    pub fn load_model(&mut self, model: &str, profile: ModelProfile) {
        self.profiles.insert(model.to_owned(), profile);
        self.update_rates();
    }

    /// Returns whether a model is loaded.
    #[must_use]
    pub fn serves(&self, model: &str) -> bool {
        self.profiles.contains_key(model)
    }

    /// Sets the factor on the rate of all work from `now` on: 1 is normal speed, 0.1 a tenth of it. Values
    /// of 0 and below are raised to the smallest accepted value, 1e-6.
    ///
    /// Advances to `now` at the old speed first, and returns the events of that time.
    pub fn set_speed(&mut self, now: MonotonicTime, speed: f64) -> Vec<BackendEvent> {
        let events = self.advance(now);
        self.speed = speed.max(ROUNDING);
        self.update_rates();
        events
    }

    /// Starts a run at the time of the last [`Self::advance`], or refuses it before any work.
    ///
    /// # Errors
    /// [`RunRefused`] if the backend is full, the model is not loaded, or the run's number is in use.
    pub fn start(&mut self, request: &RunRequest) -> Result<RunStarted, RunRefused> {
        let Some(profile) = self.profiles.get(&request.model) else {
            return Err(RunRefused::ModelUnknown);
        };
        if self.runs.contains(request.run) {
            return Err(RunRefused::Duplicate);
        }
        if self.runs.len() >= self.options.max_runs {
            return Err(RunRefused::Full);
        }
        let cached_tokens = self.cached_tokens(request);
        let uncached_tokens = request.prompt_tokens - cached_tokens;
        let core_micros = profile.prefill_core_micros_per_token * f64::from(uncached_tokens.max(1));
        let run = Run::new(request, core_micros);
        self.runs.insert(request.run, run);
        self.update_rates();
        Ok(RunStarted {
            cached_tokens,
            uncached_tokens,
        })
    }

    /// Returns how many leading prompt tokens of the request are in the prefix cache.
    #[must_use]
    pub fn cached_tokens(&self, request: &RunRequest) -> u32 {
        let hits = self
            .cache
            .leading_hits(&request.model, &request.prompt_blocks);
        let tokens = u32::try_from(hits).unwrap_or(u32::MAX);
        tokens
            .saturating_mul(self.options.block_tokens)
            .min(request.prompt_tokens)
    }

    /// Cancels a run at the time of the last [`Self::advance`]. Returns whether the run was open.
    pub fn cancel(&mut self, run: u64) -> bool {
        let removed = self.runs.remove(run);
        self.update_rates();
        removed
    }

    /// Drops every run and empties the prefix cache at time `now`, as a restart does. Emits no events.
    pub fn restart(&mut self, now: MonotonicTime) {
        self.runs.clear();
        self.cache.clear();
        self.now = now;
        self.update_rates();
    }

    /// Advances the simulation to `now` and returns the events up to then, in order of time.
    pub fn advance(&mut self, now: MonotonicTime) -> Vec<BackendEvent> {
        let mut events = Vec::new();
        while self.now < now {
            let until = self.next_change().map_or(now, |change| change.min(now));
            let micros = until.since(self.now).as_micros() as f64;
            self.busy_core_micros += micros * self.rates.busy_cores;
            self.runs.progress(micros, &self.rates);
            self.now = until;
            if self.runs.end_phases(until, &mut self.cache, &mut events) {
                self.update_rates();
            }
        }
        self.runs.report_tokens(self.now, &mut events);
        events
    }

    /// Returns when the next run changes phase or ends, unless a call changes the rates before; `None` if no
    /// run is open.
    #[must_use]
    pub fn next_change(&self) -> Option<MonotonicTime> {
        let micros = self
            .runs
            .iter()
            .map(|run| self.micros_to_change(run))
            .min_by(f64::total_cmp)?;
        Some(self.time_after(micros))
    }

    /// Returns when a run completes its next token, unless a call changes the rates before; `None` if no run
    /// is open.
    #[must_use]
    pub fn next_token(&self) -> Option<MonotonicTime> {
        let micros = self
            .runs
            .iter()
            .map(|run| self.micros_to_token(run))
            .min_by(f64::total_cmp)?;
        Some(self.time_after(micros))
    }

    /// Returns the number of one model's runs that are past their first token.
    #[must_use]
    pub fn streams(&self, model: &str) -> usize {
        self.runs
            .iter()
            .filter(|run| run.decodes() && run.model == model)
            .count()
    }

    /// Returns the current speed factor; see [`Self::set_speed`].
    #[must_use]
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// Returns the processor time used since the start, in core seconds, up to the last [`Self::advance`].
    #[must_use]
    pub fn busy_core_seconds(&self) -> f64 {
        self.busy_core_micros / 1_000_000.0
    }

    /// Returns the demand for cores, as a share of the cores. Prefill uses every core that decode leaves free.
    #[must_use]
    pub fn processor_utilization(&self) -> f64 {
        self.rates.processor_utilization
    }

    /// Returns the demand for memory bandwidth without stalls, as a share of the bandwidth; may exceed 1.
    #[must_use]
    pub fn bandwidth_utilization(&self) -> f64 {
        self.rates.bandwidth_utilization
    }

    /// Returns the processor time that the open runs still need, in seconds of all cores together.
    #[must_use]
    pub fn outstanding_seconds(&self) -> f64 {
        let core_micros: f64 = self.runs.iter().map(|run| self.core_micros_left(run)).sum();
        core_micros / self.options.cores / 1_000_000.0
    }

    /// Returns the options that the backend was created with.
    #[must_use]
    pub fn options(&self) -> &BackendOptions {
        &self.options
    }

    fn core_micros_left(&self, run: &Run) -> f64 {
        let profile = &self.profiles[&run.model];
        let token_micros = profile.decode_base_micros * profile.decode_cores_per_stream;
        match run.phase {
            Phase::Prefill { core_micros_left } => {
                core_micros_left + token_micros * f64::from(run.output_tokens)
            }
            Phase::Decode { tokens } => token_micros * (f64::from(run.output_tokens) - tokens),
        }
    }

    /// Returns the time `micros` microseconds from now, at least one microsecond ahead.
    fn time_after(&self, micros: f64) -> MonotonicTime {
        // Rounded up, so that the change is complete at the returned time.
        self.now + Duration::from_micros(micros.ceil().max(1.0) as u64)
    }

    fn micros_to_change(&self, run: &Run) -> f64 {
        match run.phase {
            Phase::Prefill { core_micros_left } => {
                core_micros_left / self.rates.prefill_cores_per_run
            }
            Phase::Decode { tokens } => {
                (f64::from(run.output_tokens) - tokens) * self.token_micros(run)
            }
        }
    }

    fn micros_to_token(&self, run: &Run) -> f64 {
        match run.phase {
            Phase::Prefill { .. } => self.micros_to_change(run),
            Phase::Decode { tokens } => (tokens.floor() + 1.0 - tokens) * self.token_micros(run),
        }
    }

    fn token_micros(&self, run: &Run) -> f64 {
        self.rates.token_micros[&run.model]
    }

    fn update_rates(&mut self) {
        let runs = self.runs.count_by_model();
        self.rates = rates(&self.options, &self.profiles, &runs, self.speed);
    }
}
