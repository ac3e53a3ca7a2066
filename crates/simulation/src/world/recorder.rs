//! Recorder of the history, which passes it to the checkers.

use std::fmt::Write;

use millford_core::MonotonicTime;

use crate::checkers::{CheckResults, CheckerSet};
use crate::history::Record;
use crate::kernel::TraceHash;

const RECORD_TAG: u8 = 200;

/// Checkers and trace hash of a run, fed with its history.
#[derive(Default)]
pub struct Recorder {
    checkers: CheckerSet,
    trace: TraceHash,
    /// Whether records, violations and log lines are printed.
    pub verbose: bool,
    buffer: String,
}

impl Recorder {
    /// Adds a record to the trace hash and passes it to the checkers. Verbose runs print it.
    pub fn record(&mut self, at: MonotonicTime, record: &Record) {
        self.buffer.clear();
        let _ = write!(self.buffer, "{record:?}");
        self.trace
            .add(at.as_micros(), RECORD_TAG, self.buffer.as_bytes());
        if self.verbose {
            println!("{:>10.3} {}", at.as_micros() as f64 / 1e6, self.buffer);
        }
        let violations = self.checkers.results().violations.len();
        self.checkers.observe(at, record);
        if self.verbose {
            for violation in &self.checkers.results().violations[violations..] {
                println!("VIOLATION {:?}: {}", violation.guarantee, violation.text);
            }
        }
    }

    /// Adds an event that is not a record to the trace hash.
    pub fn trace(&mut self, at: MonotonicTime, tag: u8, bytes: &[u8]) {
        self.trace.add(at.as_micros(), tag, bytes);
    }

    /// Prints a log line if the run is verbose.
    pub fn log(&mut self, at: MonotonicTime, text: impl FnOnce() -> String) {
        if self.verbose {
            println!("{:>10.3} -- {}", at.as_micros() as f64 / 1e6, text());
        }
    }

    /// Returns the trace hash so far.
    #[must_use]
    pub fn trace_hash(&self) -> u64 {
        self.trace.value()
    }

    /// Returns the number of events in the trace hash.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.trace.events()
    }

    /// Ends the run and returns the checkers' results.
    pub fn finish(&mut self, at: MonotonicTime) -> CheckResults {
        self.checkers.finish(at)
    }
}
