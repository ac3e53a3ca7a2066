//! First step: drains replicas that may take no new work, and removes drained ones.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

use crate::plan::draft::Draft;
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Since when each replica drains, as far as this placer knows.
///
/// A new placer counts from its first tick: what drains then may take up to `drain_ms` more.
#[derive(Clone, Debug, Default)]
pub struct DrainClock {
    started: Option<MonotonicTime>,
    since: BTreeMap<ReplicaKey, MonotonicTime>,
}

impl DrainClock {
    /// Starts the clock of what drains and forgets the rest.
    pub fn follow(&mut self, draft: &Draft, now: MonotonicTime) {
        self.started.get_or_insert(now);
        let mut since = BTreeMap::new();
        for key in draft.draining() {
            let start = self.since.get(key).copied().unwrap_or(now);
            since.insert(key.clone(), start);
        }
        self.since = since;
    }

    /// Whether this placer has been running for `time`.
    fn has_run_for(&self, now: MonotonicTime, time: Duration) -> bool {
        self.started
            .is_some_and(|started| now.since(started) >= time)
    }

    fn start(&self, key: &ReplicaKey) -> Option<MonotonicTime> {
        self.since.get(key).copied()
    }
}

/// Drains what the platform retires: no gate, no pacing.
pub fn retire(view: &PoolView<'_>, draft: &mut Draft) {
    let retired: Vec<ReplicaKey> = draft
        .active()
        .filter(|key| !view.declared.contains(key))
        .cloned()
        .collect();
    for key in retired {
        draft.drain(&key, MoveReason::Retired);
    }
}

/// Removes draining replicas that are empty or past `drain_ms`.
pub fn remove_drained(view: &PoolView<'_>, clock: &DrainClock, draft: &mut Draft) {
    // The load snapshot of a new placer is incomplete: a replica that it lacks is not known to be idle.
    let snapshot_is_complete = clock.has_run_for(view.now, view.options.member_stale_after);
    let draining: Vec<ReplicaKey> = draft.draining().cloned().collect();
    for key in draining {
        let Some(start) = clock.start(&key) else {
            continue;
        };
        let drained_for = view.now.since(start);
        let idle = match view.load.work.get(&key) {
            Some(work) => work.is_idle(),
            None => snapshot_is_complete,
        };
        // A node may have sent work just before it applied the drain: wait until it has reported.
        if idle && drained_for >= view.options.min_drain.min(view.limits.drain) {
            draft.remove(&key, MoveReason::Drained);
        } else if drained_for >= view.limits.drain {
            draft.remove(&key, MoveReason::DrainTimedOut);
        }
    }
}
