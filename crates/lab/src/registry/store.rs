//! The registry's list, which lags behind reality: a change becomes visible only after a delay, and a backend
//! that stopped reporting stays listed until it expires.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;

use super::record::{BackendListing, BackendRecord, RegistryState};

/// How far the list lags behind reality.
#[derive(Clone, Copy, Debug)]
pub struct RegistryDelays {
    /// Delay until a change is visible.
    pub visible_after: Duration,
    /// Inactivity after which a backend is removed.
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
    left_at: Option<MonotonicTime>,
}

/// The registry's list.
#[derive(Debug)]
pub struct RegistryStore {
    entries: BTreeMap<String, Entry>,
    delays: RegistryDelays,
}

impl RegistryStore {
    /// An empty list.
    #[must_use]
    pub fn new(delays: RegistryDelays) -> Self {
        Self {
            entries: BTreeMap::new(),
            delays,
        }
    }

    /// A backend registers, or reports again.
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
                left_at: None,
            });
        entry.last_report_at = now;
        entry.left_at = None;
        entry.record = record;
        entry.load_at = now;
    }

    /// A backend deregisters.
    pub fn leave(&mut self, now: MonotonicTime, id: &str) -> bool {
        self.entries
            .get_mut(id)
            .map(|entry| entry.left_at = Some(now))
            .is_some()
    }

    /// The platform starts or stops retiring a backend.
    pub fn set_draining(&mut self, now: MonotonicTime, id: &str, draining: bool) -> bool {
        let since = draining.then_some(now);
        self.entries
            .get_mut(id)
            .map(|entry| entry.draining_since = since)
            .is_some()
    }

    /// The list as readers see it now.
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
    let left = entry
        .left_at
        .is_some_and(|left_at| is_due(left_at, delays, now));
    left || now.since(entry.last_report_at) >= delays.expire_after
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
