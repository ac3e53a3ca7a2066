//! A backend and what it works on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::MonotonicTime;
use millford_proxy::request::message::WithdrawAnswer;

use crate::network::LinkNumber;
use crate::world::backend::answering::Answering;
use crate::world::process::ProcessState;

/// What a backend serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// Models.
    Model,
    /// Lookups.
    Lookup,
}

/// A simulated backend.
pub struct BackendProcess {
    /// The process.
    pub process: ProcessState,
    /// What it serves.
    pub kind: BackendKind,
    /// Whether the platform retired it: it never comes back.
    pub retired: bool,
    /// When its present incarnation started.
    started_at: MonotonicTime,
    /// Work by connection.
    work: BTreeMap<LinkNumber, Answering>,
    /// Attempts that may never run.
    withdrawn: BTreeSet<String>,
    /// Attempts that began to run.
    started: BTreeSet<String>,
    /// Attempts that ran to their end.
    finished: BTreeSet<String>,
}

impl BackendProcess {
    /// A backend that was not started yet.
    #[must_use]
    pub fn new(process: ProcessState, kind: BackendKind) -> Self {
        Self {
            process,
            kind,
            retired: false,
            started_at: MonotonicTime::ZERO,
            work: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            started: BTreeSet::new(),
            finished: BTreeSet::new(),
        }
    }

    /// Starts a new incarnation: it knows nothing of earlier attempts.
    pub fn start(&mut self, now: MonotonicTime) {
        self.started_at = now;
        self.work.clear();
        self.withdrawn.clear();
        self.started.clear();
        self.finished.clear();
    }

    /// Drops all work, as the death of the process does.
    pub fn drop_work(&mut self) {
        self.work.clear();
    }

    /// Withdraws an attempt that is at most `age` old.
    pub fn withdraw(
        &mut self,
        attempt: String,
        age: Duration,
        now: MonotonicTime,
    ) -> WithdrawAnswer {
        if self.finished.contains(&attempt) {
            return WithdrawAnswer::Finished;
        }
        // A run that was broken off began all the same.
        if self.started.contains(&attempt) {
            return WithdrawAnswer::Running;
        }
        self.withdrawn.insert(attempt);
        // Its former incarnation may have run an attempt older than itself.
        if now.since(self.started_at) >= age {
            WithdrawAnswer::Withdrawn
        } else {
            WithdrawAnswer::Unknown
        }
    }

    /// Whether an attempt may never run.
    #[must_use]
    pub fn is_withdrawn(&self, attempt: &str) -> bool {
        self.withdrawn.contains(attempt)
    }

    /// Begins to answer on a connection.
    pub fn start_work(&mut self, link: LinkNumber, work: Answering) {
        self.started.insert(work.attempt.clone());
        self.work.insert(link, work);
    }

    /// Takes the work of a connection.
    pub fn take_work(&mut self, link: LinkNumber) -> Option<Answering> {
        self.work.remove(&link)
    }

    /// Puts work back that is not done.
    pub fn continue_work(&mut self, link: LinkNumber, work: Answering) {
        self.work.insert(link, work);
    }

    /// An attempt ran to its end.
    pub fn finish(&mut self, attempt: String) {
        self.finished.insert(attempt);
    }
}
