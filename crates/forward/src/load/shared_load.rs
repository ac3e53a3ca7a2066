//! This node's part in counting the load of backends: publishes, queries and replies.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use millford_api::exchange::{
    BackendInFlight, InFlightUpdate, LoadReply, LoadRequest, PeerMessage, ReplicaInFlight,
};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_routing::{LoadTable, ReplicaCounts, ReplicaKey};

use crate::load::owned_loads::OwnedLoads;
use crate::lock::lock;
use crate::owners::{ByOwner, InFlightRequests, OwnerReply, OwnerRing, OwnerRoute, PeerLink};

/// Counts this old may stand in for a reply that did not come. Older ones are worse than none:
/// a complete prompt is read in less time.
const FRESH_FOR: Duration = Duration::from_millis(500);

/// Counts that this node owns, and how old those are that it queried.
#[derive(Debug, Default)]
pub struct SharedLoad {
    sequence: AtomicU64,
    owned: Mutex<OwnedLoads>,
    refreshed: Mutex<BTreeMap<String, MonotonicTime>>,
}

impl SharedLoad {
    /// Publishes to the owners what this node has in flight on these backends.
    pub fn publish(
        &self,
        link: &PeerLink,
        ring: &OwnerRing,
        load_table: &LoadTable,
        backend_ids: &BTreeSet<String>,
    ) {
        let now = monotonic_now();
        let mut updates = ByOwner::default();
        for id in backend_ids {
            let work = BackendInFlight {
                backend_id: id.clone(),
                replicas: own_replicas(load_table, id),
            };
            for owner in ring.owners_of_backend(id) {
                updates.add(owner, work.clone());
            }
        }
        for for_owner in updates {
            let update = InFlightUpdate {
                sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
                backends: for_owner.items,
            };
            if for_owner.owner == link.member() {
                lock(&self.owned).apply(now, link.member(), link.boot_id(), &update);
                continue;
            }
            let mut datagram = link.datagram();
            datagram.in_flight_update = Some(update);
            link.send(for_owner.address, &datagram);
        }
    }

    /// Goes by this node's own work on these backends, as if no other node had any.
    pub fn assume_idle(&self, now: MonotonicTime, backend_ids: &[&str]) {
        let mut refreshed = lock(&self.refreshed);
        refreshed.extend(backend_ids.iter().map(|id| ((*id).to_owned(), now)));
    }

    /// Queries the owners for the counts of these backends. They are in the load table once the replies
    /// arrived.
    pub fn query(
        &self,
        link: &PeerLink,
        ring: &OwnerRing,
        load_table: &LoadTable,
        backend_ids: &[&str],
    ) -> InFlightRequests {
        let now = monotonic_now();
        let mut by_owner = ByOwner::default();
        for id in backend_ids {
            match link.route_of(now, &ring.owners_of_backend(id)) {
                // Without anybody else this node's own counts are all there is.
                OwnerRoute::Unknown => {
                    lock(&self.refreshed).insert((*id).to_owned(), now);
                }
                OwnerRoute::Local => {
                    let work = lock(&self.owned).others(now, id, link.member());
                    self.apply_counts(now, load_table, &work);
                }
                OwnerRoute::Remote(owner) => by_owner.add(owner, (*id).to_owned()),
            }
        }
        link.send_requests(by_owner, |id, backend_ids, datagram| {
            datagram.load_request = Some(LoadRequest { id, backend_ids });
        })
    }

    /// Which of these backends' counts are fresh enough to choose by.
    #[must_use]
    pub fn fresh(&self, now: MonotonicTime, backend_ids: &[&str]) -> Vec<bool> {
        let refreshed = lock(&self.refreshed);
        let is_fresh = |id: &&str| {
            let at = refreshed.get(*id);
            at.is_some_and(|at| now.since(*at) < FRESH_FOR)
        };
        backend_ids.iter().map(is_fresh).collect()
    }

    /// Takes a datagram about counts. `false`: it is about something else.
    pub fn receive(
        &self,
        link: &PeerLink,
        load_table: &LoadTable,
        from: SocketAddr,
        datagram: &PeerMessage,
    ) -> bool {
        let now = monotonic_now();
        if let Some(update) = &datagram.in_flight_update {
            lock(&self.owned).apply(now, &datagram.member, datagram.boot_id, update);
            return true;
        }
        if let Some(request) = &datagram.load_request {
            self.reply(now, link, from, &datagram.member, request);
            return true;
        }
        let Some(reply) = &datagram.load_reply else {
            return false;
        };
        for work in &reply.backends {
            self.apply_counts(now, load_table, work);
        }
        link.complete(now, reply.id, OwnerReply::Counts);
        true
    }

    /// Forgets counts that are too old to be used.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.owned).expire(now);
        lock(&self.refreshed).retain(|_, at| now.since(*at) < FRESH_FOR);
    }

    fn reply(
        &self,
        now: MonotonicTime,
        link: &PeerLink,
        from: SocketAddr,
        member: &str,
        request: &LoadRequest,
    ) {
        let owned = lock(&self.owned);
        let ids = request.backend_ids.iter();
        let backends = ids.map(|id| owned.others(now, id, member)).collect();
        drop(owned);
        let mut datagram = link.datagram();
        datagram.load_reply = Some(LoadReply {
            id: request.id,
            backends,
        });
        link.send(from, &datagram);
    }

    fn apply_counts(&self, now: MonotonicTime, load_table: &LoadTable, work: &BackendInFlight) {
        let counts = work.replicas.iter().map(|replica| {
            let key = ReplicaKey {
                backend_id: work.backend_id.clone(),
                pool: replica.pool.clone(),
                model: replica.model.clone(),
                version: replica.version.clone(),
            };
            let counts = ReplicaCounts {
                prefill_tokens: replica.prefill_tokens,
                decode_streams: replica.decode_streams,
                held_requests: replica.held_requests,
            };
            (key, counts)
        });
        load_table.set_others(&work.backend_id, &counts.collect());
        lock(&self.refreshed).insert(work.backend_id.clone(), now);
    }
}

fn own_replicas(load_table: &LoadTable, backend_id: &str) -> Vec<ReplicaInFlight> {
    let work = load_table.own_work_on(backend_id).into_iter();
    work.map(|(key, counts)| ReplicaInFlight {
        pool: key.pool,
        model: key.model,
        version: key.version,
        prefill_tokens: counts.prefill_tokens,
        decode_streams: counts.decode_streams,
        held_requests: counts.held_requests,
    })
    .collect()
}
