//! Progress of the runs of an emulated backend between two moments.

use crate::backend::EmulatedBackend;
use crate::event::{BackendEvent, BackendEventKind};
use crate::run::Phase;

/// Work smaller than this counts as done; hides rounding.
pub(crate) const ROUNDING: f64 = 1e-6;

impl EmulatedBackend {
    pub(crate) fn progress(&mut self, micros: f64) {
        let rates = &self.rates;
        self.busy_core_micros += micros * rates.busy_cores;
        for run in self.runs.values_mut() {
            match &mut run.phase {
                Phase::Prefill { core_micros_left } => {
                    *core_micros_left -= micros * rates.prefill_cores_per_run;
                }
                Phase::Decode { tokens } => *tokens += micros / rates.token_micros[&run.model],
            }
        }
    }

    pub(crate) fn change_phases(&mut self, events: &mut Vec<BackendEvent>) {
        let mut changed = Vec::new();
        for (id, run) in &self.runs {
            match run.phase {
                Phase::Prefill { core_micros_left } if core_micros_left <= ROUNDING => {
                    changed.push((*id, false));
                }
                Phase::Decode { tokens } if tokens >= f64::from(run.output_tokens) - ROUNDING => {
                    changed.push((*id, true));
                }
                _ => {}
            }
        }
        for (run, finished) in &changed {
            if *finished {
                self.finish(*run, events);
            } else {
                self.start_decode(*run, events);
            }
        }
        if !changed.is_empty() {
            self.update_rates();
        }
    }

    fn start_decode(&mut self, id: u64, events: &mut Vec<BackendEvent>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.phase = Phase::Decode { tokens: 1.0 };
        run.reported_tokens = 1;
        let finished = run.output_tokens == 1;
        let (model, blocks) = (run.model.clone(), std::mem::take(&mut run.blocks));
        self.cache.touch(&model, &blocks);
        events.push(self.event(id, BackendEventKind::FirstToken));
        if finished {
            self.finish(id, events);
        }
    }

    fn finish(&mut self, id: u64, events: &mut Vec<BackendEvent>) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        if run.reported_tokens < run.output_tokens {
            events.push(self.event(id, BackendEventKind::Tokens(run.output_tokens)));
        }
        events.push(self.event(id, BackendEventKind::Finished));
    }

    pub(crate) fn report_tokens(&mut self, events: &mut Vec<BackendEvent>) {
        let at = self.now;
        for (id, run) in &mut self.runs {
            let Phase::Decode { tokens } = run.phase else {
                continue;
            };
            let whole = (tokens + ROUNDING).floor() as u32;
            if whole > run.reported_tokens {
                run.reported_tokens = whole;
                let kind = BackendEventKind::Tokens(whole);
                events.push(BackendEvent { at, run: *id, kind });
            }
        }
    }

    fn event(&self, run: u64, kind: BackendEventKind) -> BackendEvent {
        BackendEvent {
            at: self.now,
            run,
            kind,
        }
    }
}
