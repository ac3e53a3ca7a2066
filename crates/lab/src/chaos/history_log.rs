//! The history of a run while it grows.

use std::sync::{Arc, Mutex, PoisonError};

use crate::checks::History;

/// The history of a run, shared by the tasks that add to it.
#[derive(Clone, Debug, Default)]
pub struct HistoryLog(Arc<Mutex<History>>);

impl HistoryLog {
    /// Changes the history.
    pub fn add(&self, change: impl FnOnce(&mut History)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Takes the history out.
    #[must_use]
    pub fn take(&self) -> History {
        std::mem::take(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
