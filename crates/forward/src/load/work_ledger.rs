//! What every node has in flight on the backends whose counts this node owns.

use std::collections::BTreeMap;

use millford_api::exchange::{BackendInFlight, InFlightUpdate, ReplicaInFlight};
use millford_core::{Duration, MonotonicTime};

/// Nodes repeat unchanged work at this period: what a lost update said is then made good.
pub const REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// Work of a node that was not repeated for this long counts no more: three repetitions were missed.
pub const WORK_KEPT_FOR: Duration = Duration::from_secs(3);

/// What one node said last of its work on one backend.
#[derive(Clone, Debug)]
struct MemberWork {
    boot_id: u64,
    sequence: u64,
    heard: MonotonicTime,
    replicas: Vec<ReplicaInFlight>,
}

/// Work by backend and node. Every entry is absolute, so that updates may be lost, repeated and
/// overtaken: the newest of each node stands.
#[derive(Debug, Default)]
pub struct WorkLedger {
    backends: BTreeMap<String, BTreeMap<String, MemberWork>>,
}

impl WorkLedger {
    /// Takes a node's update. What is older than what is known is passed over.
    pub fn take(
        &mut self,
        now: MonotonicTime,
        member: &str,
        boot_id: u64,
        update: &InFlightUpdate,
    ) {
        for work in &update.backends {
            let members = self.backends.entry(work.backend_id.clone()).or_default();
            let known = members.get(member);
            let outdated = known
                .is_some_and(|known| known.boot_id == boot_id && update.sequence <= known.sequence);
            if outdated {
                continue;
            }
            let newest = MemberWork {
                boot_id,
                sequence: update.sequence,
                heard: now,
                replicas: work.replicas.clone(),
            };
            members.insert(member.to_owned(), newest);
        }
    }

    /// What all nodes but `except` have in flight on a backend, summed by replica.
    #[must_use]
    pub fn others(&self, now: MonotonicTime, backend_id: &str, except: &str) -> BackendInFlight {
        let mut sums: BTreeMap<(&str, &str, &str), ReplicaInFlight> = BTreeMap::new();
        let members = self.backends.get(backend_id).into_iter().flatten();
        let live = members
            .filter(|(member, work)| *member != except && now.since(work.heard) < WORK_KEPT_FOR);
        for replica in live.flat_map(|(_, work)| &work.replicas) {
            let key = (
                replica.pool.as_str(),
                replica.model.as_str(),
                replica.version.as_str(),
            );
            match sums.get_mut(&key) {
                Some(sum) => {
                    sum.prefill_tokens = sum.prefill_tokens.saturating_add(replica.prefill_tokens);
                    sum.decode_streams = sum.decode_streams.saturating_add(replica.decode_streams);
                    sum.held_requests = sum.held_requests.saturating_add(replica.held_requests);
                }
                None => {
                    sums.insert(key, replica.clone());
                }
            }
        }
        BackendInFlight {
            backend_id: backend_id.to_owned(),
            replicas: sums.into_values().collect(),
        }
    }

    /// Forgets nodes that were not heard for long.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.backends.retain(|_, members| {
            members.retain(|_, work| now.since(work.heard) < WORK_KEPT_FOR);
            !members.is_empty()
        });
    }
}
