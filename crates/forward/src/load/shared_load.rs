//! This node's part in counting the load of backends: tells, asks and answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use millford_api::exchange::{
    BackendWork, LoadAnswer, LoadQuestion, ProxyNews, ReplicaWork, WorkUpdate,
};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_routing::{LoadBoard, ReplicaCounts, ReplicaKey, RoutingTable};
use prost::Message;
use tokio::net::UdpSocket;

use crate::load::load_questions::LoadQuestions;
use crate::load::owner_ring::{Owner, OwnerRing};
use crate::load::work_ledger::WorkLedger;

/// Counts this old may stand in for an answer that did not come. Older ones say less than nothing:
/// a whole prompt is read in less time.
const USABLE_FOR: Duration = Duration::from_millis(500);

/// The ring and the table that it was made from.
#[derive(Debug, Default)]
struct RingInForce {
    table: Option<Arc<RoutingTable>>,
    ring: Arc<OwnerRing>,
}

/// Counts that this node owns, its open questions, and how it reaches the other owners.
#[derive(Debug)]
pub struct SharedLoad {
    member: String,
    boot_id: u64,
    sequence: AtomicU64,
    socket: OnceLock<Arc<UdpSocket>>,
    ring: Mutex<RingInForce>,
    ledger: Mutex<WorkLedger>,
    questions: Mutex<LoadQuestions>,
    refreshed: Mutex<BTreeMap<String, MonotonicTime>>,
}

impl SharedLoad {
    /// The part of the node with this name. Until it has a socket it asks and tells nobody.
    #[must_use]
    pub fn new(member: &str) -> Self {
        Self {
            member: member.to_owned(),
            boot_id: rand::random(),
            sequence: AtomicU64::new(0),
            socket: OnceLock::new(),
            ring: Mutex::default(),
            ledger: Mutex::default(),
            questions: Mutex::default(),
            refreshed: Mutex::default(),
        }
    }

    /// Datagrams leave through this socket from now on.
    pub fn connect(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// Who owns what at present. Answers also whether that changed with this call.
    pub fn ring(&self, table: &Arc<RoutingTable>) -> (Arc<OwnerRing>, bool) {
        let mut in_force = lock(&self.ring);
        let same = in_force
            .table
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, table));
        if same {
            return (Arc::clone(&in_force.ring), false);
        }
        in_force.table = Some(Arc::clone(table));
        let ring = OwnerRing::of(table.forward().peers());
        let changed = ring != *in_force.ring;
        if changed {
            in_force.ring = Arc::new(ring);
        }
        (Arc::clone(&in_force.ring), changed)
    }

    /// Tells the owners what this node has in flight on these backends.
    pub fn tell(&self, board: &LoadBoard, ring: &OwnerRing, backend_ids: &BTreeSet<String>) {
        let now = monotonic_now();
        let mut updates: BTreeMap<&str, (SocketAddr, Vec<BackendWork>)> = BTreeMap::new();
        for id in backend_ids {
            let work = BackendWork {
                backend_id: id.clone(),
                replicas: own_replicas(board, id),
            };
            for owner in ring.owners(id) {
                let (_, backends) = updates
                    .entry(&owner.name)
                    .or_insert((owner.address, Vec::new()));
                backends.push(work.clone());
            }
        }
        for (name, (address, backends)) in updates {
            let update = WorkUpdate {
                sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
                backends,
            };
            if name == self.member {
                lock(&self.ledger).take(now, &self.member, self.boot_id, &update);
                continue;
            }
            self.send(
                address,
                ProxyNews {
                    work_update: Some(update),
                    ..self.datagram()
                },
            );
        }
    }

    /// Brings the counts of these backends up to date on the board. Answers which of them may be
    /// used: those whose owner answered or that were asked for a moment ago, and all while nobody
    /// else is known.
    pub async fn ask(
        &self,
        board: &LoadBoard,
        table: &Arc<RoutingTable>,
        backend_ids: &[&str],
    ) -> Vec<bool> {
        let (ring, _) = self.ring(table);
        let answers = self.send_questions(board, &ring, backend_ids);
        if !answers.is_empty() {
            let timeout = lock(&self.questions).timeout();
            let deadline = tokio::time::Instant::now() + timeout;
            for (id, answer) in answers {
                if tokio::time::timeout_at(deadline, answer).await.is_err() {
                    lock(&self.questions).give_up(monotonic_now(), id);
                }
            }
        }
        let now = monotonic_now();
        let refreshed = lock(&self.refreshed);
        let is_usable = |id: &&str| {
            let at = refreshed.get(*id);
            at.is_some_and(|at| now.since(*at) < USABLE_FOR)
        };
        backend_ids.iter().map(is_usable).collect()
    }

    /// Takes a datagram that is not for everybody. False: it is news.
    pub fn receive(&self, board: &LoadBoard, from: SocketAddr, datagram: &ProxyNews) -> bool {
        let now = monotonic_now();
        if let Some(update) = &datagram.work_update {
            lock(&self.ledger).take(now, &datagram.member, datagram.boot_id, update);
            return true;
        }
        if let Some(question) = &datagram.load_question {
            self.answer(now, from, &datagram.member, question);
            return true;
        }
        let Some(answer) = &datagram.load_answer else {
            return false;
        };
        for work in &answer.backends {
            self.take_answer(now, board, work);
        }
        lock(&self.questions).answered(now, answer.id);
        true
    }

    /// Forgets what is old.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.ledger).expire(now);
        lock(&self.questions).expire(now);
        lock(&self.refreshed).retain(|_, at| now.since(*at) < USABLE_FOR);
    }

    /// Sends one question to each owner concerned; what this node owns itself is answered at once.
    fn send_questions(
        &self,
        board: &LoadBoard,
        ring: &OwnerRing,
        backend_ids: &[&str],
    ) -> Vec<(u64, tokio::sync::oneshot::Receiver<()>)> {
        let now = monotonic_now();
        let mut wanted: BTreeMap<&str, (SocketAddr, Vec<String>)> = BTreeMap::new();
        for id in backend_ids {
            let owners = ring.owners(id);
            match self.owner_to_ask(now, &owners) {
                // Without anybody else this node's own counts are all there is.
                None => {
                    lock(&self.refreshed).insert((*id).to_owned(), now);
                }
                Some(owner) if owner.name == self.member => {
                    let work = lock(&self.ledger).others(now, id, &self.member);
                    self.take_answer(now, board, &work);
                }
                Some(owner) => {
                    let (_, ids) = wanted
                        .entry(&owner.name)
                        .or_insert((owner.address, Vec::new()));
                    ids.push((*id).to_owned());
                }
            }
        }
        let mut answers = Vec::new();
        for (owner, (address, backend_ids)) in wanted {
            let (id, answer) = lock(&self.questions).begin(now, owner);
            let question = LoadQuestion { id, backend_ids };
            self.send(
                address,
                ProxyNews {
                    load_question: Some(question),
                    ..self.datagram()
                },
            );
            answers.push((id, answer));
        }
        answers
    }

    fn owner_to_ask<'a>(&self, now: MonotonicTime, owners: &[&'a Owner]) -> Option<&'a Owner> {
        let questions = lock(&self.questions);
        let mut owners = owners.iter().copied();
        let sound = owners
            .clone()
            .find(|owner| !questions.is_suspect(now, &owner.name));
        sound.or_else(|| owners.next())
    }

    fn answer(&self, now: MonotonicTime, from: SocketAddr, member: &str, question: &LoadQuestion) {
        let ledger = lock(&self.ledger);
        let backends = question
            .backend_ids
            .iter()
            .map(|id| ledger.others(now, id, member));
        let answer = LoadAnswer {
            id: question.id,
            backends: backends.collect(),
        };
        drop(ledger);
        self.send(
            from,
            ProxyNews {
                load_answer: Some(answer),
                ..self.datagram()
            },
        );
    }

    fn take_answer(&self, now: MonotonicTime, board: &LoadBoard, work: &BackendWork) {
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

    fn datagram(&self) -> ProxyNews {
        ProxyNews {
            member: self.member.clone(),
            boot_id: self.boot_id,
            ..ProxyNews::default()
        }
    }

    /// A datagram that cannot be sent is as good as lost: updates are repeated, questions time out.
    fn send(&self, address: SocketAddr, datagram: ProxyNews) {
        if let Some(socket) = self.socket.get() {
            let _ = socket.try_send_to(&datagram.encode_to_vec(), address);
        }
    }
}

fn own_replicas(board: &LoadBoard, backend_id: &str) -> Vec<ReplicaWork> {
    let work = board.own_work_on(backend_id).into_iter();
    work.map(|(key, counts)| ReplicaWork {
        pool: key.pool,
        model: key.model,
        version: key.version,
        prefill_tokens: counts.prefill_tokens,
        decode_streams: counts.decode_streams,
        held_requests: counts.held_requests,
    })
    .collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
