//! Summary of the requests of a run.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use millford_core::ResultCode;
use serde::Serialize;

use crate::caller::{Ending, RequestOutcome};
use crate::checks::History;
use crate::emulator::lookup::LOOKUP_MODEL;

/// Summary of the requests of a run. Times are in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Number of requests.
    pub requests: usize,
    /// Requests with a complete response.
    pub successes: usize,
    /// Time to the first token of streams, median.
    pub first_token_p50: f64,
    /// Time to the first token of streams, 95th percentile.
    pub first_token_p95: f64,
    /// Time between tokens of streams, median.
    pub between_tokens_p50: f64,
    /// Time between tokens of streams, 95th percentile.
    pub between_tokens_p95: f64,
    /// Time of a complete lookup, median.
    pub lookup_p50: f64,
    /// Time of a complete lookup, 95th percentile.
    pub lookup_p95: f64,
    /// Streams that another backend resumed and that completed.
    pub moved_streams: usize,
    /// Executions beyond the first of each request, by retries, hedges or resumption.
    pub second_sends: usize,
    /// Refusals and failures by the number of the result code.
    pub failures_by_code: BTreeMap<u32, usize>,
    /// Requests whose connection to the proxy could not be opened.
    pub not_connected: usize,
    /// Requests whose response was truncated.
    pub broken: usize,
    /// Requests that ran more than once although they may not be repeated.
    pub duplicates: usize,
}

impl Figures {
    /// Computes the summary of a history.
    #[must_use]
    pub fn of(history: &History) -> Self {
        let mut figures = Figures {
            requests: history.calls.len(),
            ..Self::default()
        };
        let mut first_tokens = new_histogram();
        let mut gaps = new_histogram();
        let mut lookups = new_histogram();
        for call in &history.calls {
            figures.count(call);
            if call.model == LOOKUP_MODEL && call.succeeded() {
                record(&mut lookups, call.ended_micros - call.started_micros);
            } else if call.streamed {
                call.first_token_micros()
                    .into_iter()
                    .for_each(|time| record(&mut first_tokens, time));
                call.gaps_micros().for_each(|gap| record(&mut gaps, gap));
            }
        }
        figures.first_token_p50 = millis(&first_tokens, 0.5);
        figures.first_token_p95 = millis(&first_tokens, 0.95);
        figures.between_tokens_p50 = millis(&gaps, 0.5);
        figures.between_tokens_p95 = millis(&gaps, 0.95);
        figures.lookup_p50 = millis(&lookups, 0.5);
        figures.lookup_p95 = millis(&lookups, 0.95);
        figures.count_runs(history);
        figures
    }

    fn count(&mut self, call: &RequestOutcome) {
        match &call.ending {
            Ending::Success => self.successes += 1,
            Ending::Failure { code, .. } => *self.failures_by_code.entry(*code).or_default() += 1,
            Ending::NotConnected => self.not_connected += 1,
            Ending::Broken | Ending::FalseEnd => self.broken += 1,
        }
    }

    fn count_runs(&mut self, history: &History) {
        let executions = history.executions_by_marker();
        for (marker, runs) in &executions {
            self.second_sends += runs.len() - 1;
            let moved = runs.iter().any(|run| run.resume_from > 0);
            let mut calls = history.calls.iter().filter(|call| call.marker == *marker);
            if let Some(call) = calls.next() {
                self.moved_streams += usize::from(moved && call.succeeded());
                self.duplicates += usize::from(!call.repeatable && runs.len() > 1);
            }
        }
    }

    /// Formats the summary, one line for each figure.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "requests            {} ({} complete responses)",
            self.requests, self.successes
        );
        let _ = writeln!(
            text,
            "first token         p50 {:.1} ms   p95 {:.1} ms",
            self.first_token_p50, self.first_token_p95
        );
        let _ = writeln!(
            text,
            "between tokens      p50 {:.1} ms   p95 {:.1} ms",
            self.between_tokens_p50, self.between_tokens_p95
        );
        let _ = writeln!(
            text,
            "lookups             p50 {:.1} ms   p95 {:.1} ms",
            self.lookup_p50, self.lookup_p95
        );
        let _ = writeln!(text, "moved streams       {}", self.moved_streams);
        let _ = writeln!(text, "second sends        {}", self.second_sends);
        let _ = writeln!(text, "no connection       {}", self.not_connected);
        let _ = writeln!(text, "truncated           {}", self.broken);
        for (code, count) in &self.failures_by_code {
            let name = ResultCode::from_number(*code).map_or("?", ResultCode::name);
            let _ = writeln!(text, "refused {code} {name:<24} {count}");
        }
        let _ = writeln!(text, "duplicates          {}", self.duplicates);
        text
    }
}

fn new_histogram() -> Histogram<u64> {
    // Three significant digits; resizes automatically.
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

fn record(histogram: &mut Histogram<u64>, micros: u64) {
    // Cannot fail, since the histogram resizes automatically.
    let _ = histogram.record(micros);
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
