//! How this node reaches the owners of a key, and waits for their replies.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};

use millford_api::exchange::PeerMessage;
use millford_core::MonotonicTime;
use millford_core::time::monotonic_now;
use millford_routing::RoutingTable;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::lock::lock;
use crate::owners::by_owner::ByOwner;
use crate::owners::owner_ring::{Owner, OwnerRing};
use crate::owners::pending_requests::{OwnerReply, PendingRequests};

/// The ring and the table that it was made from.
#[derive(Debug, Default)]
struct CachedRing {
    table: Option<Arc<RoutingTable>>,
    ring: Arc<OwnerRing>,
}

/// One request that was sent and waits for its reply.
#[derive(Debug)]
struct InFlightRequest {
    id: u64,
    reply: oneshot::Receiver<OwnerReply>,
}

/// Requests that were sent and wait for their replies.
#[derive(Debug, Default)]
pub struct InFlightRequests(Vec<InFlightRequest>);

impl InFlightRequests {
    /// Id of the first request, if there is one.
    #[must_use]
    pub fn first_id(&self) -> Option<u64> {
        self.0.first().map(|request| request.id)
    }

    /// These requests and those of `other`.
    #[must_use]
    pub fn and(mut self, other: Self) -> Self {
        self.0.extend(other.0);
        self
    }
}

/// Where requests about a key go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerRoute<'a> {
    /// No owner is known.
    Unknown,
    /// This node owns the key itself.
    Local,
    /// Another node owns it.
    Remote(&'a Owner),
}

/// The node's socket to its peers, the ring of owners, and pending requests.
#[derive(Debug)]
pub struct PeerLink {
    member: String,
    boot_id: u64,
    socket: OnceLock<Arc<UdpSocket>>,
    ring: Mutex<CachedRing>,
    pending: Mutex<PendingRequests>,
}

impl PeerLink {
    /// The link of the node with this name. Until it is connected it sends nothing.
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

    /// Minted at the start of the process: peers begin its counts again when it changes.
    #[must_use]
    pub fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// Datagrams are sent through this socket from now on.
    pub fn connect(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// The ring of the table's proxies.
    pub fn ring(&self, table: &Arc<RoutingTable>) -> Arc<OwnerRing> {
        self.refresh_ring(table).ring
    }

    /// The ring of the table's proxies, and whether it changed with this call.
    pub fn refresh_ring(&self, table: &Arc<RoutingTable>) -> RefreshedRing {
        let mut cached = lock(&self.ring);
        let known = cached.table.as_ref();
        let mut has_changed = false;
        if !known.is_some_and(|known| Arc::ptr_eq(known, table)) {
            cached.table = Some(Arc::clone(table));
            let ring = OwnerRing::of(table.forward().peers());
            has_changed = ring != *cached.ring;
            if has_changed {
                cached.ring = Arc::new(ring);
            }
        }
        RefreshedRing {
            ring: Arc::clone(&cached.ring),
            has_changed,
        }
    }

    /// Where to send requests about a key: to the first of its owners that is responsive, or else to the
    /// first.
    pub fn route_of<'a>(&self, now: MonotonicTime, owners: &[&'a Owner]) -> OwnerRoute<'a> {
        let responsive = self.first_responsive(now, owners);
        match responsive.or_else(|| owners.first().copied()) {
            None => OwnerRoute::Unknown,
            Some(owner) => self.route_to(owner),
        }
    }

    /// The first of these owners that is believed to be responsive.
    pub fn first_responsive<'a>(
        &self,
        now: MonotonicTime,
        owners: &[&'a Owner],
    ) -> Option<&'a Owner> {
        let pending = lock(&self.pending);
        let mut owners = owners.iter().copied();
        owners.find(|owner| !pending.is_suspect(now, &owner.name))
    }

    /// How requests reach this owner.
    #[must_use]
    pub fn route_to<'a>(&self, owner: &'a Owner) -> OwnerRoute<'a> {
        if owner.name == self.member {
            OwnerRoute::Local
        } else {
            OwnerRoute::Remote(owner)
        }
    }

    /// Sends one request to each owner. `encode` puts the request's id and the items into a datagram.
    pub fn send_requests<T>(
        &self,
        by_owner: ByOwner<'_, T>,
        encode: impl Fn(u64, Vec<T>, &mut PeerMessage),
    ) -> InFlightRequests {
        let now = monotonic_now();
        let requests = by_owner.into_iter().map(|for_owner| {
            let (id, reply) = lock(&self.pending).begin(now, for_owner.owner);
            let mut datagram = self.datagram();
            encode(id, for_owner.items, &mut datagram);
            self.send(for_owner.address, &datagram);
            InFlightRequest { id, reply }
        });
        InFlightRequests(requests.collect())
    }

    /// Waits until all replies arrived or the request timeout is over.
    pub async fn wait(&self, in_flight: InFlightRequests) -> Vec<OwnerReply> {
        if in_flight.0.is_empty() {
            return Vec::new();
        }
        let timeout = lock(&self.pending).timeout();
        let deadline = tokio::time::Instant::now() + timeout;
        let mut replies = Vec::new();
        for InFlightRequest { id, reply } in in_flight.0 {
            match tokio::time::timeout_at(deadline, reply).await {
                Ok(Ok(reply)) => replies.push(reply),
                Ok(Err(_)) | Err(_) => lock(&self.pending).time_out(monotonic_now(), id),
            }
        }
        replies
    }

    /// The reply to a request arrived. `false`: nobody waits for it any longer.
    pub fn complete(&self, now: MonotonicTime, id: u64, reply: OwnerReply) -> bool {
        lock(&self.pending).complete(now, id, reply)
    }

    /// Forgets requests whose callers went away.
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

    /// Sends a datagram. One that cannot be sent is as good as lost: updates are repeated, requests time
    /// out.
    pub fn send(&self, address: SocketAddr, datagram: &PeerMessage) {
        if let Some(socket) = self.socket.get() {
            let _ = socket.try_send_to(&datagram.encode_to_vec(), address);
        }
    }
}

/// The ring of owners at present.
#[derive(Clone, Debug)]
pub struct RefreshedRing {
    /// Which proxy owns what.
    pub ring: Arc<OwnerRing>,
    /// Whether it differs from the ring before.
    pub has_changed: bool,
}
