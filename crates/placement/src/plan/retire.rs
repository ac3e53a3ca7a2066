//! First step of a plan: drains replicas that must not take new work, and removes drained ones.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

use crate::plan::draft::Draft;
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Times at which this placer first found each replica draining.
///
/// After a change of leader, the new placer counts from its first tick. Replicas that are draining
/// at that time get the whole drain time again.
#[derive(Clone, Debug, Default)]
pub struct DrainTimers {
    started: Option<MonotonicTime>,
    since: BTreeMap<ReplicaKey, MonotonicTime>,
}

impl DrainTimers {
    /// Records the start of newly draining replicas and removes those that no longer drain.
    pub fn update(&mut self, draft: &Draft, now: MonotonicTime) {
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

/// Drains the replicas that their backends no longer declare or whose backends are not active. This
/// is neither deferred nor limited in rate, because the platform decides it.
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

/// Removes draining replicas that have no work in flight or whose drain time has passed.
pub fn remove_drained(view: &PoolView<'_>, timers: &DrainTimers, draft: &mut Draft) {
    // The load snapshot of a new placer is incomplete: a replica without counts may have work.
    let snapshot_is_complete = timers.has_run_for(view.now, view.options.member_stale_after);
    let draining: Vec<ReplicaKey> = draft.draining().cloned().collect();
    for key in draining {
        let Some(start) = timers.start(&key) else {
            continue;
        };
        let drained_for = view.now.since(start);
        let idle = match view.load.work.get(&key) {
            Some(work) => work.is_idle(),
            None => snapshot_is_complete,
        };
        // A node may have sent work just before it applied the drain, so wait until it has
        // reported.
        if idle && drained_for >= view.options.min_drain.min(view.limits.drain) {
            draft.remove(&key, MoveReason::Drained);
        } else if drained_for >= view.limits.drain {
            draft.remove(&key, MoveReason::DrainTimedOut);
        }
    }
}
