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
use crate::owners::pending_requests::{OwnerReply, PendingRequests};

/// The ring and the table that it was made from.
#[derive(Debug, Default)]
struct CachedRing {
    table: Option<Arc<RoutingTable>>,
    ring: Arc<OwnerRing>,
}

/// Questions that were sent and wait for their answers.
#[derive(Debug, Default)]
pub struct InFlightRequests(Vec<(u64, oneshot::Receiver<OwnerReply>)>);

impl InFlightRequests {
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
pub enum OwnerRoute<'a> {
    /// Nobody is known.
    Unknown,
    /// This node owns the key itself.
    Local,
    /// Another node.
    Remote(&'a Owner),
}

/// The node's socket to its peers, the ring of owners, and open questions.
#[derive(Debug)]
pub struct PeerLink {
    member: String,
    boot_id: u64,
    socket: OnceLock<Arc<UdpSocket>>,
    ring: Mutex<CachedRing>,
    pending: Mutex<PendingRequests>,
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
            pending: Mutex::default(),
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
        let mut cached = lock(&self.ring);
        let cached_table = cached.table.as_ref();
        if cached_table.is_some_and(|cached_table| Arc::ptr_eq(cached_table, table)) {
            return (Arc::clone(&cached.ring), false);
        }
        cached.table = Some(Arc::clone(table));
        let ring = OwnerRing::of(table.forward().peers());
        let changed = ring != *cached.ring;
        if changed {
            cached.ring = Arc::new(ring);
        }
        (Arc::clone(&cached.ring), changed)
    }

    /// The owner to ask about a key: the first one that answers lately.
    pub fn route_of<'a>(&self, now: MonotonicTime, owners: &[&'a Owner]) -> OwnerRoute<'a> {
        let first_responsive = self.first_responsive(now, owners);
        match first_responsive.or_else(|| owners.first().copied()) {
            None => OwnerRoute::Unknown,
            Some(owner) => self.route_to(owner),
        }
    }

    /// The first of these owners that is believed to answer.
    pub fn first_responsive<'a>(
        &self,
        now: MonotonicTime,
        owners: &[&'a Owner],
    ) -> Option<&'a Owner> {
        let pending = lock(&self.pending);
        let mut owners = owners.iter().copied();
        owners.find(|owner| !pending.is_suspect(now, &owner.name))
    }

    /// How this owner is asked.
    #[must_use]
    pub fn route_to<'a>(&self, owner: &'a Owner) -> OwnerRoute<'a> {
        match owner.name == self.member {
            true => OwnerRoute::Local,
            false => OwnerRoute::Remote(owner),
        }
    }

    /// Sends one question to each owner. `write` puts the number and the items into a datagram.
    pub fn send_requests<T>(
        &self,
        wanted: ByOwner<'_, T>,
        write: impl Fn(u64, Vec<T>, &mut PeerMessage),
    ) -> InFlightRequests {
        let now = monotonic_now();
        let mut in_flight = Vec::new();
        for wanted in wanted {
            let (id, reply) = lock(&self.pending).begin(now, wanted.owner);
            let mut datagram = self.datagram();
            write(id, wanted.items, &mut datagram);
            self.send(wanted.address, &datagram);
            in_flight.push((id, reply));
        }
        InFlightRequests(in_flight)
    }

    /// Waits until the questions are answered or the usual time for an answer is over.
    pub async fn wait(&self, in_flight: InFlightRequests) -> Vec<OwnerReply> {
        if in_flight.0.is_empty() {
            return Vec::new();
        }
        let timeout = lock(&self.pending).timeout();
        let deadline = tokio::time::Instant::now() + timeout;
        let mut replies = Vec::new();
        for (id, receiver) in in_flight.0 {
            match tokio::time::timeout_at(deadline, receiver).await {
                Ok(Ok(reply)) => replies.push(reply),
                Ok(Err(_)) | Err(_) => lock(&self.pending).time_out(monotonic_now(), id),
            }
        }
        replies
    }

    /// The answer to a question arrived.
    ///
    /// False: nobody waits for it any longer.
    pub fn complete(&self, now: MonotonicTime, id: u64, reply: OwnerReply) -> bool {
        lock(&self.pending).complete(now, id, reply)
    }

    /// Forgets what is old.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.pending).expire(now);
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
