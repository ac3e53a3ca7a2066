//! The registry's list of backends, which is stale by design: a change becomes visible only after a delay,
//! and a backend that stopped reporting stays listed until it expires.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;

use super::record::{BackendListing, BackendRecord, RegistryState};

/// Delays that make the list stale.
#[derive(Clone, Copy, Debug)]
pub struct RegistryDelays {
    /// Delay until a registration, deregistration or start of draining is visible in the list.
    pub visible_after: Duration,
    /// Time without a report after which a backend is removed from the list.
    pub expire_after: Duration,
}

impl Default for RegistryDelays {
    fn default() -> Self {
        Self {
            visible_after: Duration::from_millis(300),
            expire_after: Duration::from_secs(10),
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    record: BackendRecord,
    registered_at: MonotonicTime,
    last_report_at: MonotonicTime,
    load_at: MonotonicTime,
    draining_since: Option<MonotonicTime>,
    deregistered_at: Option<MonotonicTime>,
}

/// The registry's list of backends.
#[derive(Debug)]
pub struct RegistryStore {
    entries: BTreeMap<String, Entry>,
    delays: RegistryDelays,
}

impl RegistryStore {
    /// Creates an empty list.
    #[must_use]
    pub fn new(delays: RegistryDelays) -> Self {
        Self {
            entries: BTreeMap::new(),
            delays,
        }
    }

    /// Records a registration or a later report of a backend.
    pub fn register(&mut self, now: MonotonicTime, record: BackendRecord) {
        let entry = self
            .entries
            .entry(record.id.clone())
            .or_insert_with(|| Entry {
                record: record.clone(),
                registered_at: now,
                last_report_at: now,
                load_at: now,
                draining_since: None,
                deregistered_at: None,
            });
        entry.last_report_at = now;
        entry.deregistered_at = None;
        entry.record = record;
        entry.load_at = now;
    }

    /// Records the deregistration of a backend. Returns whether the backend was registered.
    pub fn deregister(&mut self, now: MonotonicTime, id: &str) -> bool {
        self.entries
            .get_mut(id)
            .map(|entry| entry.deregistered_at = Some(now))
            .is_some()
    }

    /// Starts or stops draining a backend. Returns whether the backend was registered.
    pub fn set_draining(&mut self, now: MonotonicTime, id: &str, draining: bool) -> bool {
        let since = draining.then_some(now);
        self.entries
            .get_mut(id)
            .map(|entry| entry.draining_since = since)
            .is_some()
    }

    /// Removes expired backends and returns the list as it is visible at `now`.
    pub fn list(&mut self, now: MonotonicTime) -> BackendListing {
        let delays = self.delays;
        self.entries
            .retain(|_, entry| !is_expired(entry, delays, now));
        let shown = self
            .entries
            .values()
            .filter(|entry| is_due(entry.registered_at, delays, now));
        BackendListing {
            backends: shown
                .map(|entry| visible_record(entry, delays, now))
                .collect(),
        }
    }
}

fn is_due(since: MonotonicTime, delays: RegistryDelays, now: MonotonicTime) -> bool {
    now.since(since) >= delays.visible_after
}

fn is_expired(entry: &Entry, delays: RegistryDelays, now: MonotonicTime) -> bool {
    let deregistered = entry
        .deregistered_at
        .is_some_and(|deregistered_at| is_due(deregistered_at, delays, now));
    deregistered || now.since(entry.last_report_at) >= delays.expire_after
}

fn visible_record(entry: &Entry, delays: RegistryDelays, now: MonotonicTime) -> BackendRecord {
    let mut record = entry.record.clone();
    record.load_age_ms = u64::try_from(now.since(entry.load_at).as_millis()).unwrap_or(u64::MAX);
    if entry
        .draining_since
        .is_some_and(|since| is_due(since, delays, now))
    {
        record.state = RegistryState::Draining;
    }
    record
}
