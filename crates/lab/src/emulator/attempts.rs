//! Attempts that a backend has met, so that one can be withdrawn before it arrives.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// State of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// It never ran and never will.
    Withdrawn,
    /// It never will run here, but it is older than this backend: a former one may have run it.
    Unknown,
    /// Work on it has begun.
    Running,
    /// Its work is over, whatever the result.
    Finished,
}

/// All attempts of one backend. None is forgotten.
#[derive(Debug)]
pub struct Attempts {
    since: Instant,
    states: HashMap<String, AttemptState>,
}

impl Attempts {
    /// No attempts; those that arrive from now on are known.
    #[must_use]
    pub fn starting_now() -> Self {
        Self {
            since: Instant::now(),
            states: HashMap::new(),
        }
    }

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
    ///
    /// `age` is an upper bound of the attempt's age. One that may be older than this list, or of
    /// which no age is known, may have run before the list began.
    pub fn withdraw(&mut self, attempt: &str, age: Option<Duration>) -> AttemptState {
        let state = *self
            .states
            .entry(attempt.to_owned())
            .or_insert(AttemptState::Withdrawn);
        let all_known = age.is_some_and(|age| age <= self.since.elapsed());
        match state {
            AttemptState::Withdrawn if !all_known => AttemptState::Unknown,
            known => known,
        }
    }
}
