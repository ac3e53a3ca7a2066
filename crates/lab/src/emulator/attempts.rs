//! Attempts that a backend has met, so that one can be withdrawn before it arrives.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// State of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// It never ran and never will.
    Withdrawn,
    /// Work on it has begun.
    Running,
    /// Its work is over, whatever the result.
    Finished,
}

/// All attempts of one backend.
#[derive(Debug, Default)]
pub struct Attempts {
    states: HashMap<String, AttemptState>,
}

impl Attempts {
    /// Begins an attempt. False: it was withdrawn or has run, and must not run now.
    pub fn begin(&mut self, attempt: &str) -> bool {
        if self.states.contains_key(attempt) {
            return false;
        }
        self.states
            .insert(attempt.to_owned(), AttemptState::Running);
        true
    }

    /// Marks an attempt as over.
    pub fn finish(&mut self, attempt: &str) {
        self.states
            .insert(attempt.to_owned(), AttemptState::Finished);
    }

    /// Withdraws an attempt. One that has not begun never will; one that has keeps its state.
    pub fn withdraw(&mut self, attempt: &str) -> AttemptState {
        *self
            .states
            .entry(attempt.to_owned())
            .or_insert(AttemptState::Withdrawn)
    }
}
