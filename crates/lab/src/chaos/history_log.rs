//! History of a run in progress.

use std::sync::{Arc, Mutex, PoisonError};

use crate::checks::History;

/// History of a run in progress, shared by the tasks that add to it.
#[derive(Clone, Debug, Default)]
pub struct HistoryLog(Arc<Mutex<History>>);

impl HistoryLog {
    /// Calls `change` with exclusive access to the history.
    pub fn add(&self, change: impl FnOnce(&mut History)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns the history and leaves an empty one.
    #[must_use]
    pub fn take(&self) -> History {
        std::mem::take(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
