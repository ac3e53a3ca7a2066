//! Which backends are ejected, from what this node itself observes of them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use millford_core::{Duration, MonotonicTime};

use crate::lock::lock;

/// Probes in a row that must succeed before an ejected backend is readmitted.
pub const PROBES_TO_READMIT: u32 = 2;

/// Failed probes in a row that eject a backend.
pub const PROBES_TO_EJECT: u32 = 2;

/// Backends used within this time are watched.
pub const WATCH_AFTER_USE: Duration = Duration::from_mins(1);

/// Most backends that a node probes without using them.
pub const MAX_WATCHED: usize = 64;

/// Why a backend was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EjectionReason {
    /// No connection could be opened.
    ConnectFailed,
    /// A connection broke with a request on it.
    ConnectionLost,
    /// Nothing was received on a stream or a probe for too long.
    Unresponsive,
}

impl EjectionReason {
    /// Name for metrics and logs. `silent` dates from before the present terms and stays.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            EjectionReason::ConnectFailed => "connect_failed",
            EjectionReason::ConnectionLost => "connection_lost",
            EjectionReason::Unresponsive => "silent",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    ejected: Option<EjectionReason>,
    good_probes: u32,
    bad_probes: u32,
    last_used: Option<MonotonicTime>,
    last_active: Option<MonotonicTime>,
    /// The first use since its last activity.
    unanswered_since: Option<MonotonicTime>,
    /// Probed whether or not it is in use.
    watched: bool,
}

/// Health of the backends by id.
///
/// The registry trails reality, so a vanished backend is ejected by connect errors, by inactivity
/// and by failed probes. Only successful probes readmit it.
#[derive(Debug, Default)]
pub struct BackendHealth {
    backends: Mutex<BTreeMap<String, Health>>,
}

impl BackendHealth {
    /// Work was sent to the backend.
    pub fn record_dispatch(&self, id: &str, now: MonotonicTime) {
        self.entry(id, |health| {
            health.last_used = Some(now);
            health.unanswered_since.get_or_insert(now);
        });
    }

    /// Bytes came from the backend.
    pub fn record_activity(&self, id: &str, now: MonotonicTime) {
        self.entry(id, |health| {
            health.last_active = Some(now);
            health.unanswered_since = None;
            health.bad_probes = 0;
        });
    }

    /// Takes the backend out of use. Returns whether it was in use before.
    pub fn eject(&self, id: &str, reason: EjectionReason) -> bool {
        self.entry(id, |health| {
            let newly = health.ejected.is_none();
            health.ejected = Some(reason);
            health.good_probes = 0;
            newly
        })
    }

    /// Whether new work may go to the backend.
    #[must_use]
    pub fn is_usable(&self, id: &str) -> bool {
        let backends = self.lock();
        backends
            .get(id)
            .is_none_or(|health| health.ejected.is_none())
    }

    /// Why the backend is ejected, if it is.
    #[must_use]
    pub fn ejection(&self, id: &str) -> Option<EjectionReason> {
        self.lock().get(id).and_then(|health| health.ejected)
    }

    /// A probe succeeded. Returns whether it readmitted the backend.
    pub fn probe_succeeded(&self, id: &str, now: MonotonicTime) -> bool {
        self.entry(id, |health| {
            health.last_active = Some(now);
            health.bad_probes = 0;
            health.good_probes += 1;
            let readmitted = health.ejected.is_some() && health.good_probes >= PROBES_TO_READMIT;
            if readmitted {
                health.ejected = None;
            }
            readmitted
        })
    }

    /// A probe failed. Returns whether it ejected the backend.
    pub fn probe_failed(&self, id: &str) -> bool {
        self.entry(id, |health| {
            health.good_probes = 0;
            health.bad_probes += 1;
            let ejects = health.ejected.is_none() && health.bad_probes >= PROBES_TO_EJECT;
            if ejects {
                health.ejected = Some(EjectionReason::Unresponsive);
            }
            ejects
        })
    }

    /// Backends to probe now: the ejected ones, and those in recent use that were inactive for `quiet`.
    #[must_use]
    pub fn to_probe(&self, now: MonotonicTime, quiet: Duration) -> Vec<String> {
        let backends = self.lock();
        let due = backends.iter().filter(|(_, health)| {
            let recently = |at: MonotonicTime| now.since(at) < WATCH_AFTER_USE;
            let in_use = health.last_used.is_some_and(recently);
            let is_quiet = health.last_active.is_none_or(|at| now.since(at) >= quiet);
            health.ejected.is_some() || ((in_use || health.watched) && is_quiet)
        });
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Whether nothing was received for `span`, neither since the last activity nor since the first
    /// use after it. Only of interest while requests are in flight.
    #[must_use]
    pub fn is_unresponsive(&self, id: &str, now: MonotonicTime, span: Duration) -> bool {
        let backends = self.lock();
        let Some(health) = backends.get(id) else {
            return false;
        };
        let newest = health.unanswered_since.max(health.last_active);
        newest.is_some_and(|at| now.since(at) >= span)
    }

    /// Whether any other backend was active within `span`.
    #[must_use]
    pub fn others_responsive(&self, id: &str, now: MonotonicTime, span: Duration) -> bool {
        let backends = self.lock();
        let mut others = backends.iter().filter(|(other, _)| other.as_str() != id);
        others.any(|(_, health)| health.last_active.is_some_and(|at| now.since(at) < span))
    }

    /// Watches backends before they are used, if they are at most [`MAX_WATCHED`]: the first
    /// work for a backend that vanished would find it out too late.
    pub fn watch<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let ids: Vec<&str> = ids.take(MAX_WATCHED + 1).collect();
        if ids.len() > MAX_WATCHED {
            return;
        }
        for id in ids {
            self.entry(id, |health| health.watched = true);
        }
    }

    /// Forgets backends that the feed no longer lists.
    pub fn keep_only(&self, known: impl Fn(&str) -> bool) {
        self.lock().retain(|id, _| known(id));
    }

    /// The ejected backends and why.
    #[must_use]
    pub fn ejections(&self) -> BTreeMap<String, EjectionReason> {
        let backends = self.lock();
        let ejected = backends
            .iter()
            .filter_map(|(id, health)| Some((id.clone(), health.ejected?)));
        ejected.collect()
    }

    /// Number of ejected backends.
    #[must_use]
    pub fn ejected(&self) -> usize {
        let backends = self.lock();
        backends
            .values()
            .filter(|health| health.ejected.is_some())
            .count()
    }

    fn entry<R>(&self, id: &str, change: impl FnOnce(&mut Health) -> R) -> R {
        let mut backends = self.lock();
        match backends.get_mut(id) {
            Some(health) => change(health),
            None => change(backends.entry(id.to_owned()).or_default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Health>> {
        lock(&self.backends)
    }
}
