//! This node's part in counting the load of backends: tells, asks and answers.

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

use crate::load::work_ledger::WorkLedger;
use crate::owners::peer_link::{Asked, lock};
use crate::owners::{Answer, ByOwner, OwnerRing, PeerLink, Pending};

/// Counts this old may stand in for an answer that did not come. Older ones say less than nothing:
/// a whole prompt is read in less time.
const USABLE_FOR: Duration = Duration::from_millis(500);

/// Counts that this node owns, and how old those are that it asked for.
#[derive(Debug, Default)]
pub struct SharedLoad {
    sequence: AtomicU64,
    ledger: Mutex<WorkLedger>,
    refreshed: Mutex<BTreeMap<String, MonotonicTime>>,
}

impl SharedLoad {
    /// Tells the owners what this node has in flight on these backends.
    pub fn tell(
        &self,
        link: &PeerLink,
        ring: &OwnerRing,
        board: &LoadTable,
        backend_ids: &BTreeSet<String>,
    ) {
        let now = monotonic_now();
        let mut updates = ByOwner::default();
        for id in backend_ids {
            let work = BackendInFlight {
                backend_id: id.clone(),
                replicas: own_replicas(board, id),
            };
            for owner in ring.owners_of_backend(id) {
                updates.add(owner, work.clone());
            }
        }
        for told in updates {
            let update = InFlightUpdate {
                sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
                backends: told.items,
            };
            if told.owner == link.member() {
                lock(&self.ledger).take(now, link.member(), link.boot_id(), &update);
                continue;
            }
            let mut datagram = link.datagram();
            datagram.in_flight_update = Some(update);
            link.send(told.address, &datagram);
        }
    }

    /// Goes by this node's own work on these backends, as if no other node had any.
    pub fn assume_idle(&self, now: MonotonicTime, backend_ids: &[&str]) {
        let mut refreshed = lock(&self.refreshed);
        refreshed.extend(backend_ids.iter().map(|id| ((*id).to_owned(), now)));
    }

    /// Asks the owners for the counts of these backends. They are on the board once the questions are
    /// answered.
    pub fn ask(
        &self,
        link: &PeerLink,
        ring: &OwnerRing,
        board: &LoadTable,
        backend_ids: &[&str],
    ) -> Pending {
        let now = monotonic_now();
        let mut wanted = ByOwner::default();
        for id in backend_ids {
            match link.asked(now, &ring.owners_of_backend(id)) {
                // Without anybody else this node's own counts are all there is.
                Asked::Nobody => {
                    lock(&self.refreshed).insert((*id).to_owned(), now);
                }
                Asked::Itself => {
                    let work = lock(&self.ledger).others(now, id, link.member());
                    self.take_counts(now, board, &work);
                }
                Asked::Peer(owner) => wanted.add(owner, (*id).to_owned()),
            }
        }
        link.send_questions(wanted, |id, backend_ids, datagram| {
            datagram.load_request = Some(LoadRequest { id, backend_ids });
        })
    }

    /// Which of these backends' counts are fresh enough to choose by.
    #[must_use]
    pub fn fresh(&self, now: MonotonicTime, backend_ids: &[&str]) -> Vec<bool> {
        let refreshed = lock(&self.refreshed);
        let is_fresh = |id: &&str| {
            let at = refreshed.get(*id);
            at.is_some_and(|at| now.since(*at) < USABLE_FOR)
        };
        backend_ids.iter().map(is_fresh).collect()
    }

    /// Takes a datagram about counts. False: it is about something else.
    pub fn receive(
        &self,
        link: &PeerLink,
        board: &LoadTable,
        from: SocketAddr,
        datagram: &PeerMessage,
    ) -> bool {
        let now = monotonic_now();
        if let Some(update) = &datagram.in_flight_update {
            lock(&self.ledger).take(now, &datagram.member, datagram.boot_id, update);
            return true;
        }
        if let Some(question) = &datagram.load_request {
            self.answer(now, link, from, &datagram.member, question);
            return true;
        }
        let Some(answer) = &datagram.load_reply else {
            return false;
        };
        for work in &answer.backends {
            self.take_counts(now, board, work);
        }
        link.answered(now, answer.id, Answer::Counts);
        true
    }

    /// Forgets what is old.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.ledger).expire(now);
        lock(&self.refreshed).retain(|_, at| now.since(*at) < USABLE_FOR);
    }

    fn answer(
        &self,
        now: MonotonicTime,
        link: &PeerLink,
        from: SocketAddr,
        member: &str,
        question: &LoadRequest,
    ) {
        let ledger = lock(&self.ledger);
        let ids = question.backend_ids.iter();
        let backends = ids.map(|id| ledger.others(now, id, member)).collect();
        drop(ledger);
        let mut datagram = link.datagram();
        datagram.load_reply = Some(LoadReply {
            id: question.id,
            backends,
        });
        link.send(from, &datagram);
    }

    fn take_counts(&self, now: MonotonicTime, board: &LoadTable, work: &BackendInFlight) {
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
        board.set_others(&work.backend_id, &counts.collect());
        lock(&self.refreshed).insert(work.backend_id.clone(), now);
    }
}

fn own_replicas(board: &LoadTable, backend_id: &str) -> Vec<ReplicaInFlight> {
    let work = board.own_work_on(backend_id).into_iter();
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
