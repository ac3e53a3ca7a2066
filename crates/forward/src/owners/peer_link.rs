//! Sends requests to the owners of a key and waits for their replies.

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

/// The ring and the routing table that it was built from.
#[derive(Debug, Default)]
struct CachedRing {
    table: Option<Arc<RoutingTable>>,
    ring: Arc<OwnerRing>,
}

/// One request that awaits its reply.
#[derive(Debug)]
struct InFlightRequest {
    id: u64,
    reply: oneshot::Receiver<OwnerReply>,
}

/// Requests that await their replies.
#[derive(Debug, Default)]
pub struct InFlightRequests(Vec<InFlightRequest>);

impl InFlightRequests {
    /// Returns the id of the first request, if there is one.
    #[must_use]
    pub fn first_id(&self) -> Option<u64> {
        self.0.first().map(|request| request.id)
    }

    /// Combines these requests with those of `other`.
    #[must_use]
    pub fn and(mut self, other: Self) -> Self {
        self.0.extend(other.0);
        self
    }
}

/// Destination of requests for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerRoute<'a> {
    /// No owner is known.
    Unknown,
    /// This node owns the key itself.
    Local,
    /// Another node owns it.
    Remote(&'a Owner),
}

/// The node's socket for peer messages, the ring of owners, and the pending requests.
#[derive(Debug)]
pub struct PeerLink {
    member: String,
    boot_id: u64,
    socket: OnceLock<Arc<UdpSocket>>,
    ring: Mutex<CachedRing>,
    pending: Mutex<PendingRequests>,
}

impl PeerLink {
    /// Creates the link of the node called `member`. It sends nothing until [`Self::connect`] is called.
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

    /// Returns the name of this node.
    #[must_use]
    pub fn member(&self) -> &str {
        &self.member
    }

    /// Returns a random number that identifies this incarnation of the process. When it changes, peers start
    /// counting this node's usage from 0.
    #[must_use]
    pub fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// Sets the socket that datagrams are sent through. Only the first call has an effect.
    pub fn connect(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// Returns the ring of the proxies in the routing table.
    pub fn ring(&self, table: &Arc<RoutingTable>) -> Arc<OwnerRing> {
        self.refresh_ring(table).ring
    }

    /// Returns the ring of the proxies in the routing table, and whether this call changed it.
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

    /// Returns where to send requests for a key with these owners: to the first one that is not suspected of being
    /// unresponsive, or to the first one if all are.
    pub fn route_of<'a>(&self, now: MonotonicTime, owners: &[&'a Owner]) -> OwnerRoute<'a> {
        let responsive = self.first_responsive(now, owners);
        match responsive.or_else(|| owners.first().copied()) {
            None => OwnerRoute::Unknown,
            Some(owner) => self.route_to(owner),
        }
    }

    /// Returns the first of these owners that is not suspected of being unresponsive.
    pub fn first_responsive<'a>(
        &self,
        now: MonotonicTime,
        owners: &[&'a Owner],
    ) -> Option<&'a Owner> {
        let pending = lock(&self.pending);
        let mut owners = owners.iter().copied();
        owners.find(|owner| !pending.is_suspect(now, &owner.name))
    }

    /// Returns how requests reach this owner.
    #[must_use]
    pub fn route_to<'a>(&self, owner: &'a Owner) -> OwnerRoute<'a> {
        if owner.name == self.member {
            OwnerRoute::Local
        } else {
            OwnerRoute::Remote(owner)
        }
    }

    /// Sends one request to each owner. `encode` writes the request's id and the owner's items into the datagram.
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

    /// Waits until all replies have arrived or the request timeout has passed, and returns the replies that
    /// arrived.
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

    /// Delivers the reply to a request. Returns `false` if nothing waits for it any longer.
    pub fn complete(&self, now: MonotonicTime, id: u64, reply: OwnerReply) -> bool {
        lock(&self.pending).complete(now, id, reply)
    }

    /// Removes requests that were abandoned without waiting for their replies.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.pending).expire(now);
    }

    /// Creates a datagram that contains only this node's name and boot id.
    #[must_use]
    pub fn datagram(&self) -> PeerMessage {
        PeerMessage {
            member: self.member.clone(),
            boot_id: self.boot_id,
            ..PeerMessage::default()
        }
    }

    /// Sends a datagram. A failure is handled like a lost datagram: updates are repeated, requests time out.
    pub fn send(&self, address: SocketAddr, datagram: &PeerMessage) {
        if let Some(socket) = self.socket.get() {
            let _ = socket.try_send_to(&datagram.encode_to_vec(), address);
        }
    }
}

/// The current ring of owners.
#[derive(Clone, Debug)]
pub struct RefreshedRing {
    /// Determines the owners of a key.
    pub ring: Arc<OwnerRing>,
    /// Whether the ring differs from the one that the previous call returned.
    pub has_changed: bool,
}
