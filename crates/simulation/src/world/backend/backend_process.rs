//! State of a simulated backend.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::MonotonicTime;
use millford_proxy::request::message::WithdrawAnswer;

use crate::network::LinkNumber;
use crate::world::backend::answering::Answering;
use crate::world::process::ProcessState;

/// Kind of requests that a backend serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// Serves model requests.
    Model,
    /// Serves lookups.
    Lookup,
}

/// A simulated backend, with its requests in progress and the attempts that it has received.
pub struct BackendProcess {
    /// Incarnation, clock and queued inputs.
    pub process: ProcessState,
    /// Whether the backend serves model requests or lookups.
    pub kind: BackendKind,
    /// Whether the platform retired the backend for good.
    pub retired: bool,
    /// Start of the present incarnation.
    started_at: MonotonicTime,
    /// Requests in progress, by connection.
    work: BTreeMap<LinkNumber, Answering>,
    /// Ids of withdrawn attempts, which must not run.
    withdrawn: BTreeSet<String>,
    /// Ids of the attempts that this incarnation started.
    started: BTreeSet<String>,
    /// Ids of the attempts that this incarnation completed.
    finished: BTreeSet<String>,
}

impl BackendProcess {
    /// Creates a backend that has not started.
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

    /// Starts a new incarnation, without any state of earlier attempts.
    pub fn start(&mut self, now: MonotonicTime) {
        self.started_at = now;
        self.work.clear();
        self.withdrawn.clear();
        self.started.clear();
        self.finished.clear();
    }

    /// Drops all requests in progress, as a crash does.
    pub fn drop_work(&mut self) {
        self.work.clear();
    }

    /// Withdraws an attempt that is at most `age` old. `now` is the simulated time.
    pub fn withdraw(
        &mut self,
        attempt: String,
        age: Duration,
        now: MonotonicTime,
    ) -> WithdrawAnswer {
        if self.finished.contains(&attempt) {
            return WithdrawAnswer::Finished;
        }
        // An attempt that was aborted has run too, in part.
        if self.started.contains(&attempt) {
            return WithdrawAnswer::Running;
        }
        self.withdrawn.insert(attempt);
        // An earlier incarnation may have run an attempt that is older than this incarnation.
        if now.since(self.started_at) >= age {
            WithdrawAnswer::Withdrawn
        } else {
            WithdrawAnswer::Unknown
        }
    }

    /// Returns whether an attempt is withdrawn and must not run.
    #[must_use]
    pub fn is_withdrawn(&self, attempt: &str) -> bool {
        self.withdrawn.contains(attempt)
    }

    /// Starts to answer a request on a connection.
    pub fn start_work(&mut self, link: LinkNumber, work: Answering) {
        self.started.insert(work.attempt.clone());
        self.work.insert(link, work);
    }

    /// Removes and returns the request in progress on a connection.
    pub fn take_work(&mut self, link: LinkNumber) -> Option<Answering> {
        self.work.remove(&link)
    }

    /// Puts back a request that is not completed.
    pub fn continue_work(&mut self, link: LinkNumber, work: Answering) {
        self.work.insert(link, work);
    }

    /// Marks an attempt as completed.
    pub fn finish(&mut self, attempt: String) {
        self.finished.insert(attempt);
    }
}
