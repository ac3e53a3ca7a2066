//! A backend and what it works on.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::MonotonicTime;

use crate::network::LinkNumber;
use crate::world::backend::answering::Answering;
use crate::world::process::ProcessState;

/// A simulated backend.
pub struct BackendProcess {
    /// The process.
    pub process: ProcessState,
    /// Whether it serves lookups rather than models.
    pub lookup: bool,
    /// When it last started afresh.
    pub started_at: MonotonicTime,
    /// Work by connection.
    pub work: BTreeMap<LinkNumber, Answering>,
    /// Attempts that may never run.
    pub withdrawn: BTreeSet<String>,
    /// Attempts that began to run.
    pub started: BTreeSet<String>,
    /// Attempts that ran to their end.
    pub finished: BTreeSet<String>,
    /// Whether the platform retired it: it never comes back.
    pub retired: bool,
}

impl BackendProcess {
    /// A backend that was not started yet.
    #[must_use]
    pub fn new(process: ProcessState, lookup: bool) -> Self {
        Self {
            process,
            lookup,
            started_at: MonotonicTime::ZERO,
            work: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            started: BTreeSet::new(),
            finished: BTreeSet::new(),
            retired: false,
        }
    }
}
