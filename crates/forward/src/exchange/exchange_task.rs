//! Carries news over UDP.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use millford_api::exchange::PeerMessage;
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_settings::PartLog;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::exchange::peer_sequences::PeerSequences;
use crate::exchange::usage_messages::{UsageMessageEncoder, apply_usage};
use crate::load::owned_loads::REPUBLISH_INTERVAL;
use crate::node::ForwardNode;
use crate::owners::OwnerRing;
use crate::prefix_index;
use crate::protocol::ForwardProtocol;

const LOG: PartLog = PartLog::new("PEERS");

/// Time between two rounds of news.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two rounds of news between owners of a tenant. What they grant in between is bounded by
/// their telling each other at once.
const OWNER_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two tellings at once between owners of a tenant: while a tenant presses on,
/// each of its requests would cost a datagram to every one of them.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(20);

/// Everything is told again after this long, for peers that missed it.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_millis(1000);

/// Datagrams taken in one go before other tasks get their turn.
const MAX_DATAGRAMS_PER_WAKE_UP: usize = 64;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Exchanges news for as long as the process lives.
pub async fn run<P: ForwardProtocol>(node: Arc<ForwardNode<P>>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    // Before the first event of the socket nothing would leave.
    let _ = socket.writable().await;
    node.peers.connect(Arc::clone(&socket));
    let mut exchange = Exchange {
        encoder: UsageMessageEncoder::new(rand::random()),
        peers: PeerSequences::default(),
        next_full: monotonic_now(),
        next_owner_update: monotonic_now(),
        urgent_after: monotonic_now(),
        next_republish: monotonic_now(),
        recently_published: BTreeSet::new(),
    };
    let mut ticks = tokio::time::interval(UPDATE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            _ = ticks.tick() => exchange.tick(&node, &socket).await,
            () = until_urgent(&node, exchange.urgent_after) => exchange.send_urgent_usage(&node, &socket).await,
            () = node.state.load_table.until_changed() => exchange.publish_work(&node),
            () = node.prefix_index.until_announcements() => publish_locations(&node),
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    exchange.receive(&node, from, &buffer[..length]);
                    exchange.receive_waiting(&node, &socket, &mut buffer);
                }
                Err(error) => LOG.debug(format_args!("A datagram could not be read: {error}.")),
            },
        }
    }
}

struct Exchange {
    encoder: UsageMessageEncoder,
    peers: PeerSequences,
    next_full: MonotonicTime,
    next_owner_update: MonotonicTime,
    /// When owners may next tell each other at once.
    urgent_after: MonotonicTime,
    next_republish: MonotonicTime,
    /// Backends whose owners were told of work since the last repetition.
    recently_published: BTreeSet<String>,
}

impl Exchange {
    async fn tick<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>, socket: &UdpSocket) {
        let now = monotonic_now();
        node.quotas.tick(now, &node.zone);
        self.republish_work(node, now);
        let (ring, _) = node.peers.ring(&node.state.table());
        let full = now >= self.next_full;
        if full {
            self.next_full = now + FULL_UPDATE_INTERVAL;
            node.prefix_index.expire(now);
        }
        if ring.has_tenant_owners() {
            if full || now >= self.next_owner_update {
                self.next_owner_update = now + OWNER_UPDATE_INTERVAL;
                self.publish_to_owners(node, &ring, now, full);
            }
            return;
        }
        if let Some(message) = self.encoder.encode_for_all(node, now, full) {
            send_to_all(socket, &message, &ring.addresses_of_others(&node.name)).await;
        }
    }

    /// Tells what was admitted, between two rounds of news.
    async fn send_urgent_usage<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        socket: &UdpSocket,
    ) {
        let now = monotonic_now();
        let (ring, _) = node.peers.ring(&node.state.table());
        if ring.has_tenant_owners() {
            self.urgent_after = now + MIN_URGENT_INTERVAL;
            self.publish_to_owners(node, &ring, now, false);
            return;
        }
        if let Some(message) = self.encoder.encode_for_all(node, now, false) {
            send_to_all(socket, &message, &ring.addresses_of_others(&node.name)).await;
        }
    }

    /// Tells the other owners of tenants what this node granted as one.
    fn publish_to_owners<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        ring: &OwnerRing,
        now: MonotonicTime,
        full: bool,
    ) {
        for (address, message) in self.encoder.encode_for_owners(node, ring, now, full) {
            node.peers.send(address, &message);
        }
    }

    /// Tells the owners of the counts what changed on their backends.
    fn publish_work<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>) {
        let changed = node.state.load_table.take_changed();
        let (ring, _) = node.peers.ring(&node.state.table());
        let board = &node.state.load_table;
        node.load.publish(&node.peers, &ring, board, &changed);
        self.recently_published.extend(changed);
    }

    /// Tells unchanged work again: what was lost is made good, and new owners learn what there is.
    fn republish_work<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>, now: MonotonicTime) {
        let (ring, changed) = node.peers.ring(&node.state.table());
        if now < self.next_republish && !changed {
            return;
        }
        self.next_republish = now + REPUBLISH_INTERVAL;
        node.load.expire(now);
        node.peers.expire(now);
        node.quota_client.expire(now);
        let mut backends = node.state.load_table.busy_backends();
        backends.append(&mut self.recently_published);
        let board = &node.state.load_table;
        node.load.publish(&node.peers, &ring, board, &backends);
    }

    /// Takes what else has arrived: one wake-up serves all of it.
    fn receive_waiting<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        socket: &UdpSocket,
        buffer: &mut [u8],
    ) {
        for _ in 0..MAX_DATAGRAMS_PER_WAKE_UP {
            let Ok((length, from)) = socket.try_recv_from(buffer) else {
                return;
            };
            self.receive(node, from, &buffer[..length]);
        }
    }

    /// Takes a datagram about quotas with owners. False: it is about something else.
    fn receive_quota<P: ForwardProtocol>(
        &self,
        node: &ForwardNode<P>,
        from: SocketAddr,
        message: &PeerMessage,
    ) -> bool {
        let table = node.state.table();
        let shared = &node.quota_client;
        shared.receive(&node.peers, &table, &node.quotas, from, message)
    }

    fn receive<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let Ok(message) = PeerMessage::decode(bytes) else {
            LOG.debug("A datagram is no news of a proxy.");
            return;
        };
        let now = monotonic_now();
        let board = &node.state.load_table;
        if message.member == node.name
            || node.load.receive(&node.peers, board, from, &message)
            || prefix_index::receive(&node.peers, &node.prefix_index, from, &message)
            || self.receive_quota(node, from, &message)
        {
            return;
        }
        if !self.peers.accept(&message) {
            return;
        }
        apply_usage(node, now, &message);
    }
}

/// Resolves once peers should hear of an admission at once, not before `earliest`.
async fn until_urgent<P: ForwardProtocol>(node: &ForwardNode<P>, earliest: MonotonicTime) {
    tokio::time::sleep(earliest.since(monotonic_now())).await;
    node.quotas.until_urgent().await;
}

/// Tells the owners of parts where they were read.
fn publish_locations<P: ForwardProtocol>(node: &ForwardNode<P>) {
    let (ring, _) = node.peers.ring(&node.state.table());
    prefix_index::publish(&node.peers, &ring, node.prefix_index.take_announcements());
}

async fn send_to_all(socket: &UdpSocket, message: &PeerMessage, addresses: &[SocketAddr]) {
    let bytes = message.encode_to_vec();
    for address in addresses {
        // A datagram that cannot be sent is as good as lost: the next one makes it good.
        let _ = socket.send_to(&bytes, address).await;
    }
}
