//! States of the attempts on a backend. An attempt can be withdrawn even before it arrives.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// State of one attempt on this backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt has not run and will not run.
    Withdrawn,
    /// The attempt will not run on this process, but may be older than it: an earlier process of the backend
    /// may have run it.
    Unknown,
    /// Work on the attempt has begun and not ended.
    Running,
    /// Work on the attempt has ended, successfully or not.
    Finished,
}

/// States of all attempts since the backend started. No entry is ever removed.
#[derive(Debug)]
pub struct Attempts {
    since: Instant,
    states: HashMap<String, AttemptState>,
}

impl Attempts {
    /// Creates an empty table that will contain every attempt from now on.
    #[must_use]
    pub fn starting_now() -> Self {
        Self {
            since: Instant::now(),
            states: HashMap::new(),
        }
    }

    /// Marks an attempt as running. Returns false if it was withdrawn or has run before; it must not run then.
    pub fn begin(&mut self, attempt: &str) -> bool {
        if self.states.contains_key(attempt) {
            return false;
        }
        self.states
            .insert(attempt.to_owned(), AttemptState::Running);
        true
    }

    /// Marks an attempt as finished.
    pub fn finish(&mut self, attempt: &str) {
        self.states
            .insert(attempt.to_owned(), AttemptState::Finished);
    }

    /// Withdraws an attempt unless it has begun, and returns its state.
    ///
    /// `age` is an upper bound of the attempt's age. If it exceeds the age of this table, or is absent, an
    /// earlier process of the backend may have run the attempt.
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
