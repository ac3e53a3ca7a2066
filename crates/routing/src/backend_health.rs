//! Ejection and readmission of backends, based on this node's own traffic and probes.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use millford_core::{Duration, MonotonicTime};

use crate::lock::lock;

/// Consecutive successful probes after which an ejected backend is readmitted.
pub const PROBES_TO_READMIT: u32 = 2;

/// Consecutive failed probes after which a backend is ejected.
pub const PROBES_TO_EJECT: u32 = 2;

/// How long after its last use a backend is still probed.
pub const WATCH_AFTER_USE: Duration = Duration::from_mins(1);

/// Largest number of backends that a node probes without using them. If there are more, a backend is
/// probed only once it is used.
pub const MAX_WATCHED: usize = 64;

/// Shortest time for which a backend that exceeded a limit is not readmitted. It doubles with each further excess.
pub const MIN_HOLD: Duration = Duration::from_secs(10);

/// Longest time for which a backend that exceeded a limit is not readmitted.
pub const MAX_HOLD: Duration = Duration::from_mins(5);

/// Time after which an excess no longer makes the next hold longer.
const EXCESS_MEMORY: Duration = Duration::from_mins(15);

/// Reason for the ejection of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EjectionReason {
    /// No connection could be opened.
    ConnectFailed,
    /// A connection failed with a request in flight on it.
    ConnectionLost,
    /// Nothing was received on a stream, or for a probe, within the timeout.
    Unresponsive,
    /// The backend sent more than a limit allows.
    OverLimit,
}

impl EjectionReason {
    /// Returns the name used in metrics and logs. `silent` predates the term "unresponsive" and is
    /// kept for compatibility.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            EjectionReason::ConnectFailed => "connect_failed",
            EjectionReason::ConnectionLost => "connection_lost",
            EjectionReason::Unresponsive => "silent",
            EjectionReason::OverLimit => "over_limit",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    ejected: Option<EjectionReason>,
    /// Consecutive successful probes.
    consecutive_successes: u32,
    /// Consecutive failed probes since the last activity.
    consecutive_failures: u32,
    last_used: Option<MonotonicTime>,
    last_active: Option<MonotonicTime>,
    /// Time of the first use since the last activity; `None` if there was no use since then.
    unanswered_since: Option<MonotonicTime>,
    /// Whether the backend is probed even when it is not in use.
    watched: bool,
    excess: Option<Excess>,
}

/// The excesses of a backend over its limits, of which the last was within [`EXCESS_MEMORY`] of the one before.
#[derive(Clone, Copy, Debug)]
struct Excess {
    count: u32,
    last: MonotonicTime,
    /// Time until which successful probes do not readmit the backend.
    held_until: MonotonicTime,
}

impl Excess {
    fn after(previous: Option<Self>, now: MonotonicTime) -> Self {
        let recent = previous.filter(|excess| now.since(excess.last) < EXCESS_MEMORY);
        let before = recent.map_or(0, |excess| excess.count);
        let hold = MIN_HOLD.saturating_mul(2_u32.saturating_pow(before));
        Self {
            count: before.saturating_add(1),
            last: now,
            held_until: now + hold.min(MAX_HOLD),
        }
    }
}

impl Health {
    fn is_held(&self, now: MonotonicTime) -> bool {
        self.excess.is_some_and(|excess| now < excess.held_until)
    }
}

/// Health of the backends, by backend id.
///
/// The registry lists a lost backend for some time after the loss, so a node ejects a backend itself
/// on connect errors, inactivity and failed probes. Only successful probes readmit it.
#[derive(Debug, Default)]
pub struct BackendHealth {
    backends: Mutex<BTreeMap<String, Health>>,
}

impl BackendHealth {
    /// Records that work was sent to the backend.
    pub fn record_dispatch(&self, id: &str, now: MonotonicTime) {
        self.entry(id, |health| {
            health.last_used = Some(now);
            health.unanswered_since.get_or_insert(now);
        });
    }

    /// Records that bytes were received from the backend. This does not readmit an ejected backend.
    pub fn record_activity(&self, id: &str, now: MonotonicTime) {
        self.entry(id, |health| {
            health.last_active = Some(now);
            health.unanswered_since = None;
            health.consecutive_failures = 0;
        });
    }

    /// Ejects the backend, or updates the reason if it is already ejected. Returns whether it is newly
    /// ejected.
    pub fn eject(&self, id: &str, reason: EjectionReason) -> bool {
        self.entry(id, |health| {
            let newly = health.ejected.is_none();
            health.ejected = Some(reason);
            health.consecutive_successes = 0;
            newly
        })
    }

    /// Ejects a backend that exceeded a limit, for at least [`MIN_HOLD`]. Its probes succeed all the while, since they
    /// show only that it is there. Returns whether it is newly ejected. Excesses of requests that were in flight when the
    /// hold began count as one.
    pub fn eject_over_limit(&self, id: &str, now: MonotonicTime) -> bool {
        self.entry(id, |health| {
            if health.is_held(now) {
                return false;
            }
            let newly = health.ejected.is_none();
            health.excess = Some(Excess::after(health.excess, now));
            health.ejected = Some(EjectionReason::OverLimit);
            health.consecutive_successes = 0;
            newly
        })
    }

    /// Returns whether new work may be sent to the backend. A backend without a record is usable.
    #[must_use]
    pub fn is_usable(&self, id: &str) -> bool {
        let backends = self.lock();
        backends
            .get(id)
            .is_none_or(|health| health.ejected.is_none())
    }

    /// Returns the reason of the ejection, or `None` if the backend is not ejected.
    #[must_use]
    pub fn ejection(&self, id: &str) -> Option<EjectionReason> {
        self.lock().get(id).and_then(|health| health.ejected)
    }

    /// Records a successful probe. Returns whether it readmitted the backend.
    pub fn probe_succeeded(&self, id: &str, now: MonotonicTime) -> bool {
        self.entry(id, |health| {
            health.last_active = Some(now);
            health.consecutive_failures = 0;
            health.consecutive_successes += 1;
            let readmitted = health.ejected.is_some()
                && health.consecutive_successes >= PROBES_TO_READMIT
                && !health.is_held(now);
            if readmitted {
                health.ejected = None;
            }
            readmitted
        })
    }

    /// Records a failed probe. Returns whether it ejected the backend.
    pub fn probe_failed(&self, id: &str) -> bool {
        self.entry(id, |health| {
            health.consecutive_successes = 0;
            health.consecutive_failures += 1;
            let ejects = health.ejected.is_none() && health.consecutive_failures >= PROBES_TO_EJECT;
            if ejects {
                health.ejected = Some(EjectionReason::Unresponsive);
            }
            ejects
        })
    }

    /// Returns the backends to probe now: every ejected backend, and every watched or recently used one
    /// that has been inactive for at least `inactivity`.
    #[must_use]
    pub fn to_probe(&self, now: MonotonicTime, inactivity: Duration) -> Vec<String> {
        let backends = self.lock();
        let due = backends.iter().filter(|(_, health)| {
            let recently = |at: MonotonicTime| now.since(at) < WATCH_AFTER_USE;
            let in_use = health.last_used.is_some_and(recently);
            let is_inactive = health
                .last_active
                .is_none_or(|at| now.since(at) >= inactivity);
            health.ejected.is_some() || ((in_use || health.watched) && is_inactive)
        });
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether nothing was received for `span`, counted from the later of the last activity and
    /// the first use after it. Meaningful only while requests are in flight.
    #[must_use]
    pub fn is_unresponsive(&self, id: &str, now: MonotonicTime, span: Duration) -> bool {
        let backends = self.lock();
        let Some(health) = backends.get(id) else {
            return false;
        };
        let newest = health.unanswered_since.max(health.last_active);
        newest.is_some_and(|at| now.since(at) >= span)
    }

    /// Returns whether any other backend was active within `span`.
    #[must_use]
    pub fn others_responsive(&self, id: &str, now: MonotonicTime, span: Duration) -> bool {
        let backends = self.lock();
        let mut others = backends.iter().filter(|(other, _)| other.as_str() != id);
        others.any(|(_, health)| health.last_active.is_some_and(|at| now.since(at) < span))
    }

    /// Starts probing these backends before they are used, so that a lost backend is found before the
    /// first request is sent to it. Does nothing for more than [`MAX_WATCHED`] backends.
    pub fn watch<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let ids: Vec<&str> = ids.take(MAX_WATCHED + 1).collect();
        if ids.len() > MAX_WATCHED {
            return;
        }
        for id in ids {
            self.entry(id, |health| health.watched = true);
        }
    }

    /// Removes the records of backends for which `known` returns false, because the feed no longer lists them.
    pub fn keep_only(&self, known: impl Fn(&str) -> bool) {
        self.lock().retain(|id, _| known(id));
    }

    /// Returns the ejected backends with the reasons.
    #[must_use]
    pub fn ejections(&self) -> BTreeMap<String, EjectionReason> {
        let backends = self.lock();
        let ejected = backends
            .iter()
            .filter_map(|(id, health)| Some((id.clone(), health.ejected?)));
        ejected.collect()
    }

    /// Counts the ejected backends.
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
