//! The load that every node has in flight on the backends whose counts this node owns.

use std::collections::BTreeMap;

use millford_api::exchange::{BackendInFlight, InFlightUpdate, ReplicaInFlight};
use millford_core::{Duration, MonotonicTime};

/// Interval at which nodes publish unchanged load again, so that lost updates are repaired.
pub const REPUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Age at which a node's published load expires; by then three republications were missed.
pub const WORK_EXPIRY: Duration = Duration::from_secs(3);

/// Most pairs of a backend and a node whose load is kept, since peers name both; several times those that a node of the
/// planned fleet owns.
pub const MAX_PAIRS: usize = 65_536;

/// The load on one backend that one node last published.
#[derive(Clone, Debug)]
struct MemberWork {
    boot_id: u64,
    sequence: u64,
    received_at: MonotonicTime,
    replicas: Vec<ReplicaInFlight>,
}

/// Identity of a replica on one backend; its load is summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaName<'a> {
    pool: &'a str,
    model: &'a str,
    version: &'a str,
}

impl<'a> From<&'a ReplicaInFlight> for ReplicaName<'a> {
    fn from(replica: &'a ReplicaInFlight) -> Self {
        Self {
            pool: &replica.pool,
            model: &replica.model,
            version: &replica.version,
        }
    }
}

/// Load by backend and node. Updates contain absolute counts, and the newest of each node applies, so that updates
/// may be lost, repeated and reordered.
#[derive(Debug, Default)]
pub struct OwnedLoads {
    /// The load that each node published, by backend id and node name.
    backends: BTreeMap<String, BTreeMap<String, MemberWork>>,
    /// Number of pairs of a backend and a node.
    pairs: usize,
}

impl OwnedLoads {
    /// Applies a node's update. An outdated one is ignored.
    pub fn apply(
        &mut self,
        now: MonotonicTime,
        member: &str,
        boot_id: u64,
        update: &InFlightUpdate,
    ) {
        for work in &update.backends {
            let members = self.backends.get(&work.backend_id);
            let known = members.and_then(|members| members.get(member));
            let outdated = known
                .is_some_and(|known| known.boot_id == boot_id && update.sequence <= known.sequence);
            let is_new = known.is_none();
            if outdated || (is_new && self.pairs >= MAX_PAIRS) {
                continue;
            }
            self.pairs += usize::from(is_new);
            let newest = MemberWork {
                boot_id,
                sequence: update.sequence,
                received_at: now,
                replicas: work.replicas.clone(),
            };
            let members = self.backends.entry(work.backend_id.clone()).or_default();
            members.insert(member.to_owned(), newest);
        }
    }

    /// Returns the load that all nodes except `except` have in flight on a backend, summed by replica.
    #[must_use]
    pub fn others(&self, now: MonotonicTime, backend_id: &str, except: &str) -> BackendInFlight {
        let mut sums: BTreeMap<ReplicaName<'_>, ReplicaInFlight> = BTreeMap::new();
        let members = self.backends.get(backend_id).into_iter().flatten();
        let unexpired = members.filter(|(member, work)| {
            *member != except && now.since(work.received_at) < WORK_EXPIRY
        });
        for replica in unexpired.flat_map(|(_, work)| &work.replicas) {
            let name = ReplicaName::from(replica);
            sums.entry(name)
                .and_modify(|sum| add(sum, replica))
                .or_insert_with(|| replica.clone());
        }
        BackendInFlight {
            backend_id: backend_id.to_owned(),
            replicas: sums.into_values().collect(),
        }
    }

    /// Removes expired load.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.backends.retain(|_, members| {
            members.retain(|_, work| now.since(work.received_at) < WORK_EXPIRY);
            !members.is_empty()
        });
        self.pairs = self.backends.values().map(BTreeMap::len).sum();
    }
}

/// Adds counts with saturation, since peers may send arbitrary numbers.
fn add(sum: &mut ReplicaInFlight, replica: &ReplicaInFlight) {
    sum.prefill_tokens = sum.prefill_tokens.saturating_add(replica.prefill_tokens);
    sum.decode_streams = sum.decode_streams.saturating_add(replica.decode_streams);
    sum.held_requests = sum.held_requests.saturating_add(replica.held_requests);
}
