//! Publishes this node's load on backends to its owners, queries the load of other nodes, and replies as an owner.

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

/// Age up to which counts may be used if a query gets no reply. Older ones are worse than none: a backend
/// completes the prefill of a whole prompt in less time.
const MAX_COUNT_AGE: Duration = Duration::from_millis(500);

/// The counts that this node owns, and the age of those that it queried.
#[derive(Debug, Default)]
pub struct SharedLoad {
    /// Sequence number of the last update that was published.
    sequence: AtomicU64,
    owned: Mutex<OwnedLoads>,
    /// When the load table received the counts of each backend, by backend id.
    refreshed: Mutex<BTreeMap<String, MonotonicTime>>,
}

impl SharedLoad {
    /// Publishes this node's load on these backends to the backends' owners.
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

    /// Marks the counts of these backends as fresh without a query, so that choices use only the counts that the
    /// load table holds. Used while shared load is disabled.
    pub fn assume_idle(&self, now: MonotonicTime, backend_ids: &[&str]) {
        let mut refreshed = lock(&self.refreshed);
        refreshed.extend(backend_ids.iter().map(|id| ((*id).to_owned(), now)));
    }

    /// Queries the owners for the counts of these backends. The load table holds them once the replies have
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
                // Without any known proxy, this node's own counts are the only ones.
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

    /// Returns, for each of these backends, whether its counts are recent enough for a choice.
    #[must_use]
    pub fn fresh(&self, now: MonotonicTime, backend_ids: &[&str]) -> Vec<bool> {
        let refreshed = lock(&self.refreshed);
        let is_fresh = |id: &&str| {
            let at = refreshed.get(*id);
            at.is_some_and(|at| now.since(*at) < MAX_COUNT_AGE)
        };
        backend_ids.iter().map(is_fresh).collect()
    }

    /// Handles a datagram that contains a load update, request or reply. Returns `false` if it contains none.
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

    /// Removes counts that are too old to be used.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.owned).expire(now);
        lock(&self.refreshed).retain(|_, at| now.since(*at) < MAX_COUNT_AGE);
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
