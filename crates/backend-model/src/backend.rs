//! The emulated backend.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

use crate::event::{BackendEvent, RunRefused, RunRequest, RunStarted};
use crate::options::BackendOptions;
use crate::prefix_cache::PrefixCache;
use crate::profile::ModelProfile;
use crate::progress::ROUNDING;
use crate::rates::{ModelRuns, Rates, rates};
use crate::run::{Phase, Run};

/// A backend that runs prompts of several models; stepped by its caller's clock.
#[derive(Clone, Debug)]
pub struct EmulatedBackend {
    options: BackendOptions,
    profiles: BTreeMap<String, ModelProfile>,
    pub(crate) runs: BTreeMap<u64, Run>,
    pub(crate) cache: PrefixCache,
    speed: f64,
    pub(crate) now: MonotonicTime,
    pub(crate) rates: Rates,
    pub(crate) busy_core_micros: f64,
}

impl EmulatedBackend {
    /// A backend without models and runs at `now`.
    #[must_use]
    pub fn new(options: BackendOptions, now: MonotonicTime) -> Self {
        Self {
            options,
            profiles: BTreeMap::new(),
            runs: BTreeMap::new(),
            cache: PrefixCache::new(options.cache_blocks),
            speed: 1.0,
            now,
            rates: Rates::default(),
            busy_core_micros: 0.0,
        }
    }

    /// Loads a model. Its runs are taken from now on.
    pub fn load_model(&mut self, model: &str, profile: ModelProfile) {
        self.profiles.insert(model.to_owned(), profile);
        self.update_rates();
    }

    /// Whether a model is loaded.
    #[must_use]
    pub fn serves(&self, model: &str) -> bool {
        self.profiles.contains_key(model)
    }

    /// Sets the speed from `now` on: 1 is normal, 0.1 a tenth. Must be above 0.
    ///
    /// Events up to `now` are returned.
    pub fn set_speed(&mut self, now: MonotonicTime, speed: f64) -> Vec<BackendEvent> {
        let events = self.advance(now);
        self.speed = speed.max(ROUNDING);
        self.update_rates();
        events
    }

    /// Takes a run, or refuses it before any work. Call [`Self::advance`] to `now` first.
    ///
    /// # Errors
    /// [`RunRefused`] when the backend is full, lacks the model, or the number is in use.
    pub fn start(&mut self, request: &RunRequest) -> Result<RunStarted, RunRefused> {
        let Some(profile) = self.profiles.get(&request.model) else {
            return Err(RunRefused::ModelUnknown);
        };
        if self.runs.contains_key(&request.run) {
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

    /// Prompt tokens of the request that the prefix cache holds.
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

    /// Ends a run early. Returns whether it was open. Call [`Self::advance`] first.
    pub fn cancel(&mut self, run: u64) -> bool {
        let removed = self.runs.remove(&run).is_some();
        self.update_rates();
        removed
    }

    /// Loses every run and the prefix cache, as a restart does.
    pub fn restart(&mut self, now: MonotonicTime) {
        self.runs.clear();
        self.cache.clear();
        self.now = now;
        self.update_rates();
    }

    /// Progresses to `now`; returns what happened, in order of time.
    pub fn advance(&mut self, now: MonotonicTime) -> Vec<BackendEvent> {
        let mut events = Vec::new();
        while self.now < now {
            let until = self.next_change().map_or(now, |change| change.min(now));
            let micros = until.since(self.now).as_micros() as f64;
            self.progress(micros);
            self.now = until;
            self.change_phases(&mut events);
        }
        self.report_tokens(&mut events);
        events
    }

    /// When the next run changes phase or ends, if nothing else happens before.
    #[must_use]
    pub fn next_change(&self) -> Option<MonotonicTime> {
        let micros = self
            .runs
            .values()
            .map(|run| self.micros_to_change(run))
            .min_by(f64::total_cmp)?;
        Some(self.after(micros))
    }

    /// When the next token of any run is there, if nothing else happens before.
    #[must_use]
    pub fn next_token(&self) -> Option<MonotonicTime> {
        let micros = self
            .runs
            .values()
            .map(|run| self.micros_to_token(run))
            .min_by(f64::total_cmp)?;
        Some(self.after(micros))
    }

    /// Number of open runs.
    #[must_use]
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Number of streams past their first token of one model.
    #[must_use]
    pub fn streams(&self, model: &str) -> usize {
        self.runs
            .values()
            .filter(|run| run.decodes() && run.model == model)
            .count()
    }

    /// The speed factor in force.
    #[must_use]
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// Processor time spent since the start, in core seconds, up to the last advance.
    #[must_use]
    pub fn busy_core_seconds(&self) -> f64 {
        self.busy_core_micros / 1_000_000.0
    }

    /// Demand for cores over cores; prefill takes every core that decode leaves.
    #[must_use]
    pub fn processor_utilization(&self) -> f64 {
        self.rates.processor_utilization
    }

    /// Demand for memory bandwidth at full pace over the bandwidth; may exceed 1.
    #[must_use]
    pub fn bandwidth_utilization(&self) -> f64 {
        self.rates.bandwidth_utilization
    }

    /// Processor time of the open runs over cores: the work left, in seconds.
    #[must_use]
    pub fn outstanding_seconds(&self) -> f64 {
        let core_micros: f64 = self
            .runs
            .values()
            .map(|run| self.core_micros_left(run))
            .sum();
        core_micros / self.options.cores / 1_000_000.0
    }

    /// The size of the backend.
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

    fn after(&self, micros: f64) -> MonotonicTime {
        // Rounded up, so that the change has happened by then.
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

    pub(crate) fn update_rates(&mut self) {
        let mut runs: BTreeMap<String, ModelRuns> = BTreeMap::new();
        for run in self.runs.values() {
            let model = runs.entry(run.model.clone()).or_default();
            if run.decodes() {
                model.streams += 1;
            } else {
                model.prefills += 1;
            }
        }
        self.rates = rates(&self.options, &self.profiles, &runs, self.speed);
    }
}
