//! How this node reaches the owners of a key, and waits for their answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use millford_api::exchange::PeerMessage;
use millford_core::MonotonicTime;
use millford_core::time::monotonic_now;
use millford_routing::RoutingTable;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::owners::by_owner::ByOwner;
use crate::owners::owner_ring::{Owner, OwnerRing};
use crate::owners::questions::{Answer, Questions};

/// The ring and the table that it was made from.
#[derive(Debug, Default)]
struct RingInForce {
    table: Option<Arc<RoutingTable>>,
    ring: Arc<OwnerRing>,
}

/// Questions that were sent and wait for their answers.
#[derive(Debug, Default)]
pub struct Pending(Vec<(u64, oneshot::Receiver<Answer>)>);

impl Pending {
    /// Number of the first question, if there is one.
    #[must_use]
    pub fn first_id(&self) -> Option<u64> {
        self.0.first().map(|(id, _)| *id)
    }

    /// Both together.
    #[must_use]
    pub fn and(mut self, other: Self) -> Self {
        self.0.extend(other.0);
        self
    }
}

/// Who is to be asked about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked<'a> {
    /// Nobody is known.
    Nobody,
    /// This node owns the key itself.
    Itself,
    /// Another node.
    Peer(&'a Owner),
}

/// The node's socket to its peers, the ring of owners, and open questions.
#[derive(Debug)]
pub struct PeerLink {
    member: String,
    boot_id: u64,
    socket: OnceLock<Arc<UdpSocket>>,
    ring: Mutex<RingInForce>,
    questions: Mutex<Questions>,
}

impl PeerLink {
    /// The link of the node with this name. Until it has a socket nothing leaves.
    #[must_use]
    pub fn new(member: &str) -> Self {
        Self {
            member: member.to_owned(),
            boot_id: rand::random(),
            socket: OnceLock::new(),
            ring: Mutex::default(),
            questions: Mutex::default(),
        }
    }

    /// Name of this node.
    #[must_use]
    pub fn member(&self) -> &str {
        &self.member
    }

    /// Minted at the start of the process: counts begin again.
    #[must_use]
    pub fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// Datagrams leave through this socket from now on.
    pub fn connect(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// Who owns what at present. Answers also whether that changed with this call.
    pub fn ring(&self, table: &Arc<RoutingTable>) -> (Arc<OwnerRing>, bool) {
        let mut in_force = lock(&self.ring);
        let known = in_force.table.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, table)) {
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

    /// The owner to ask about a key: the first one that answers lately.
    pub fn asked<'a>(&self, now: MonotonicTime, owners: &[&'a Owner]) -> Asked<'a> {
        let sound = self.sound(now, owners);
        match sound.or_else(|| owners.first().copied()) {
            None => Asked::Nobody,
            Some(owner) => self.way_to(owner),
        }
    }

    /// The first of these owners that is believed to answer.
    pub fn sound<'a>(&self, now: MonotonicTime, owners: &[&'a Owner]) -> Option<&'a Owner> {
        let questions = lock(&self.questions);
        let mut owners = owners.iter().copied();
        owners.find(|owner| !questions.is_suspect(now, &owner.name))
    }

    /// How this owner is asked.
    #[must_use]
    pub fn way_to<'a>(&self, owner: &'a Owner) -> Asked<'a> {
        match owner.name == self.member {
            true => Asked::Itself,
            false => Asked::Peer(owner),
        }
    }

    /// Sends one question to each owner. `write` puts the number and the items into a datagram.
    pub fn send_questions<T>(
        &self,
        wanted: ByOwner<'_, T>,
        write: impl Fn(u64, Vec<T>, &mut PeerMessage),
    ) -> Pending {
        let now = monotonic_now();
        let mut pending = Vec::new();
        for wanted in wanted {
            let (id, answer) = lock(&self.questions).begin(now, wanted.owner);
            let mut datagram = self.datagram();
            write(id, wanted.items, &mut datagram);
            self.send(wanted.address, &datagram);
            pending.push((id, answer));
        }
        Pending(pending)
    }

    /// Waits until the questions are answered or the usual time for an answer is over.
    pub async fn wait(&self, pending: Pending) -> Vec<Answer> {
        if pending.0.is_empty() {
            return Vec::new();
        }
        let timeout = lock(&self.questions).timeout();
        let deadline = tokio::time::Instant::now() + timeout;
        let mut answers = Vec::new();
        for (id, receiver) in pending.0 {
            match tokio::time::timeout_at(deadline, receiver).await {
                Ok(Ok(answer)) => answers.push(answer),
                Ok(Err(_)) | Err(_) => lock(&self.questions).give_up(monotonic_now(), id),
            }
        }
        answers
    }

    /// The answer to a question arrived.
    ///
    /// False: nobody waits for it any longer.
    pub fn answered(&self, now: MonotonicTime, id: u64, answer: Answer) -> bool {
        lock(&self.questions).answered(now, id, answer)
    }

    /// Forgets what is old.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.questions).expire(now);
    }

    /// An empty datagram of this node.
    #[must_use]
    pub fn datagram(&self) -> PeerMessage {
        PeerMessage {
            member: self.member.clone(),
            boot_id: self.boot_id,
            ..PeerMessage::default()
        }
    }

    /// A datagram that cannot be sent is as good as lost: what is told is repeated, questions time out.
    pub fn send(&self, address: SocketAddr, datagram: &PeerMessage) {
        if let Some(socket) = self.socket.get() {
            let _ = socket.try_send_to(&datagram.encode_to_vec(), address);
        }
    }
}

/// The guarded value, also after a panic of another holder: what is guarded here is soft state.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
