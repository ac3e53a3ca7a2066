//! Takes the history and feeds the checkers.

use std::fmt::Write;

use millford_core::MonotonicTime;

use crate::checkers::{Checkers, Verdict};
use crate::history::Record;
use crate::kernel::TraceHash;

const RECORD_TAG: u8 = 200;

/// History, checkers and trace hash of a run.
#[derive(Default)]
pub struct Recorder {
    checkers: Checkers,
    trace: TraceHash,
    /// Whether records and log lines are printed as they come.
    pub verbose: bool,
    buffer: String,
}

impl Recorder {
    /// Takes a record.
    pub fn record(&mut self, at: MonotonicTime, record: &Record) {
        self.buffer.clear();
        let _ = write!(self.buffer, "{record:?}");
        self.trace
            .add(at.as_micros(), RECORD_TAG, self.buffer.as_bytes());
        if self.verbose {
            println!("{:>10.3} {}", at.as_micros() as f64 / 1e6, self.buffer);
        }
        let violations = self.checkers.verdict().violations.len();
        self.checkers.observe(at, record);
        if self.verbose {
            for violation in &self.checkers.verdict().violations[violations..] {
                println!("VIOLATION {:?}: {}", violation.guarantee, violation.text);
            }
        }
    }

    /// Adds an event that is no record to the trace.
    pub fn trace(&mut self, at: MonotonicTime, tag: u8, bytes: &[u8]) {
        self.trace.add(at.as_micros(), tag, bytes);
    }

    /// Prints a line in verbose runs.
    pub fn log(&mut self, at: MonotonicTime, text: impl FnOnce() -> String) {
        if self.verbose {
            println!("{:>10.3} -- {}", at.as_micros() as f64 / 1e6, text());
        }
    }

    /// Hash of everything so far.
    #[must_use]
    pub fn trace_hash(&self) -> u64 {
        self.trace.value()
    }

    /// Number of traced events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.trace.events()
    }

    /// Ends the run.
    pub fn finish(&mut self, at: MonotonicTime) -> Verdict {
        self.checkers.finish(at)
    }
}
