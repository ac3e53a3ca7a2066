//! The open runs of an emulated backend, and their progress over time.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::event::{BackendEvent, BackendEventKind};
use crate::prefix_cache::PrefixCache;
use crate::rates::{ModelRuns, Rates};
use crate::run::{Phase, Run};

/// Remaining work below this counts as done, which absorbs rounding errors. Also the smallest speed factor.
pub(crate) const ROUNDING: f64 = 1e-6;

/// Open runs, by [`RunRequest::run`](crate::RunRequest::run).
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTable {
    runs: BTreeMap<u64, Run>,
}

/// The phase that a run has completed.
#[derive(Clone, Copy)]
enum PhaseEnd {
    /// Prefill; it produces the first token.
    Prefill,
    /// Decode; all tokens are produced.
    Decode,
}

impl RunTable {
    /// Returns the number of open runs.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether a run with this number is open.
    pub(crate) fn contains(&self, run: u64) -> bool {
        self.runs.contains_key(&run)
    }

    /// Adds a run under its number.
    pub(crate) fn insert(&mut self, number: u64, run: Run) {
        self.runs.insert(number, run);
    }

    /// Removes a run. Returns whether it was open.
    pub(crate) fn remove(&mut self, run: u64) -> bool {
        self.runs.remove(&run).is_some()
    }

    /// Removes every run.
    pub(crate) fn clear(&mut self) {
        self.runs.clear();
    }

    /// Iterates over the open runs in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// Counts the runs of each model in each phase.
    pub(crate) fn count_by_model(&self) -> BTreeMap<String, ModelRuns> {
        let mut counts: BTreeMap<String, ModelRuns> = BTreeMap::new();
        for run in self.runs.values() {
            let model = counts.entry(run.model.clone()).or_default();
            if run.decodes() {
                model.streams += 1;
            } else {
                model.prefills += 1;
            }
        }
        counts
    }

    /// Advances every run by `micros` microseconds at constant rates.
    pub(crate) fn progress(&mut self, micros: f64, rates: &Rates) {
        for run in self.runs.values_mut() {
            match &mut run.phase {
                Phase::Prefill { core_micros_left } => {
                    *core_micros_left -= micros * rates.prefill_cores_per_run;
                }
                Phase::Decode { tokens } => *tokens += micros / rates.token_micros[&run.model],
            }
        }
    }

    /// Ends the phases that are complete at `now`: caches the prompts of completed prefills, and closes
    /// finished runs.
    ///
    /// Returns whether any phase ended, in which case the rates must be recomputed.
    pub(crate) fn end_phases(
        &mut self,
        now: MonotonicTime,
        cache: &mut PrefixCache,
        events: &mut Vec<BackendEvent>,
    ) -> bool {
        let ended: Vec<(u64, PhaseEnd)> = self
            .runs
            .iter()
            .filter_map(|(number, run)| phase_end(run).map(|end| (*number, end)))
            .collect();
        for (run, end) in &ended {
            match end {
                PhaseEnd::Prefill => self.start_decode(*run, now, cache, events),
                PhaseEnd::Decode => self.finish(*run, now, events),
            }
        }
        !ended.is_empty()
    }

    fn start_decode(
        &mut self,
        number: u64,
        now: MonotonicTime,
        cache: &mut PrefixCache,
        events: &mut Vec<BackendEvent>,
    ) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.phase = Phase::Decode { tokens: 1.0 };
        run.reported_tokens = 1;
        cache.mark_used(&run.model, &std::mem::take(&mut run.blocks));
        let finished = run.output_tokens == 1;
        events.push(event(now, number, BackendEventKind::FirstToken));
        if finished {
            self.finish(number, now, events);
        }
    }

    fn finish(&mut self, number: u64, now: MonotonicTime, events: &mut Vec<BackendEvent>) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        if run.reported_tokens < run.output_tokens {
            let kind = BackendEventKind::Tokens(run.output_tokens);
            events.push(event(now, number, kind));
        }
        events.push(event(now, number, BackendEventKind::Finished));
    }

    /// Appends an event for each run that completed tokens since its last report.
    pub(crate) fn report_tokens(&mut self, now: MonotonicTime, events: &mut Vec<BackendEvent>) {
        for (number, run) in &mut self.runs {
            let Phase::Decode { tokens } = run.phase else {
                continue;
            };
            let complete = (tokens + ROUNDING).floor() as u32;
            if complete > run.reported_tokens {
                run.reported_tokens = complete;
                events.push(event(now, *number, BackendEventKind::Tokens(complete)));
            }
        }
    }
}

fn phase_end(run: &Run) -> Option<PhaseEnd> {
    match run.phase {
        Phase::Prefill { core_micros_left } if core_micros_left <= ROUNDING => {
            Some(PhaseEnd::Prefill)
        }
        Phase::Decode { tokens } if tokens >= f64::from(run.output_tokens) - ROUNDING => {
            Some(PhaseEnd::Decode)
        }
        _ => None,
    }
}

fn event(at: MonotonicTime, run: u64, kind: BackendEventKind) -> BackendEvent {
    BackendEvent { at, run, kind }
}
