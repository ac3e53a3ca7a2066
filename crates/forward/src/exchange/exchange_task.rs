//! Sends and receives peer messages over UDP.

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
use crate::exchange::usage_messages::{UpdateScope, UsageMessageEncoder, apply_usage};
use crate::load::owned_loads::REPUBLISH_INTERVAL;
use crate::node::ForwardNode;
use crate::owners::OwnerRing;
use crate::prefix_index;
use crate::protocol::ForwardProtocol;
use crate::quota::quota_service;

const LOG: PartLog = PartLog::new("PEERS");

/// Time between two usage updates to all peers.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two usage updates between owners of a tenant. What they grant in between is bounded by their
/// urgent updates.
const OWNER_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two urgent updates between owners of a tenant: while a tenant sends more than its
/// quota, each of its requests would cost a datagram to every one of them.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two updates that cover all tenants, for peers that missed some.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Datagrams received in one go before other tasks get their turn.
const MAX_DATAGRAMS_PER_WAKE_UP: usize = 64;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Exchanges messages with the peers for as long as the process lives.
pub async fn run<P: ForwardProtocol>(node: Arc<ForwardNode<P>>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    // Before the first event of the socket nothing would be sent.
    let _ = socket.writable().await;
    node.peers.connect(Arc::clone(&socket));
    let mut exchange = Exchange::new();
    let mut ticks = tokio::time::interval(UPDATE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            _ = ticks.tick() => exchange.tick(&node, &socket).await,
            () = until_urgent(&node, exchange.urgent_after) => exchange.send_urgent_usage(&node, &socket).await,
            () = node.state.load_table.until_changed() => exchange.publish_load(&node),
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
    /// When the next urgent update between owners may be sent.
    urgent_after: MonotonicTime,
    next_republish: MonotonicTime,
    /// Backends whose load was published since the last repetition.
    recently_published: BTreeSet<String>,
}

impl Exchange {
    fn new() -> Self {
        Self {
            encoder: UsageMessageEncoder::new(rand::random()),
            peers: PeerSequences::default(),
            next_full: monotonic_now(),
            next_owner_update: monotonic_now(),
            urgent_after: monotonic_now(),
            next_republish: monotonic_now(),
            recently_published: BTreeSet::new(),
        }
    }

    async fn tick<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>, socket: &UdpSocket) {
        let now = monotonic_now();
        node.quotas.tick(now, &node.zone);
        self.republish_load(node, now);
        let ring = node.peers.ring(&node.state.table());
        let scope = if now >= self.next_full {
            UpdateScope::Full
        } else {
            UpdateScope::Changes
        };
        if scope == UpdateScope::Full {
            self.next_full = now + FULL_UPDATE_INTERVAL;
            node.prefix_index.expire(now);
        }
        if ring.has_tenant_owners() {
            if scope == UpdateScope::Full || now >= self.next_owner_update {
                self.next_owner_update = now + OWNER_UPDATE_INTERVAL;
                self.send_to_owners(node, &ring, now, scope);
            }
            return;
        }
        self.send_to_all(node, &ring, socket, now, scope).await;
    }

    /// Reports what was admitted, between two periodic updates.
    async fn send_urgent_usage<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        socket: &UdpSocket,
    ) {
        let now = monotonic_now();
        let ring = node.peers.ring(&node.state.table());
        if ring.has_tenant_owners() {
            self.urgent_after = now + MIN_URGENT_INTERVAL;
            self.send_to_owners(node, &ring, now, UpdateScope::Changes);
            return;
        }
        let scope = UpdateScope::Changes;
        self.send_to_all(node, &ring, socket, now, scope).await;
    }

    /// Reports to all peers what this node admitted.
    async fn send_to_all<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        ring: &OwnerRing,
        socket: &UdpSocket,
        now: MonotonicTime,
        scope: UpdateScope,
    ) {
        let Some(message) = self.encoder.encode_for_all(node, now, scope) else {
            return;
        };
        let bytes = message.encode_to_vec();
        for address in ring.addresses_of_others(&node.name) {
            // A datagram that cannot be sent is as good as lost: the next one makes up for it.
            let _ = socket.send_to(&bytes, address).await;
        }
    }

    /// Reports to the other owners of tenants what this node granted as one.
    fn send_to_owners<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        ring: &OwnerRing,
        now: MonotonicTime,
        scope: UpdateScope,
    ) {
        for addressed in self.encoder.encode_for_owners(node, ring, now, scope) {
            node.peers.send(addressed.address, &addressed.message);
        }
    }

    /// Publishes to the owners of backends' counts what changed there.
    fn publish_load<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>) {
        let changed = node.state.load_table.take_changed();
        let ring = node.peers.ring(&node.state.table());
        let load_table = &node.state.load_table;
        node.load.publish(&node.peers, &ring, load_table, &changed);
        self.recently_published.extend(changed);
    }

    /// Publishes unchanged load again, which makes up for lost updates and brings new owners up to date.
    fn republish_load<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>, now: MonotonicTime) {
        let refreshed = node.peers.refresh_ring(&node.state.table());
        if now < self.next_republish && !refreshed.has_changed {
            return;
        }
        self.next_republish = now + REPUBLISH_INTERVAL;
        node.load.expire(now);
        node.peers.expire(now);
        node.quota_client.expire(now);
        let load_table = &node.state.load_table;
        let mut backends = load_table.busy_backends();
        backends.append(&mut self.recently_published);
        node.load
            .publish(&node.peers, &refreshed.ring, load_table, &backends);
    }

    /// Receives what else has arrived: one wake-up serves all of it.
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

    fn receive<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let Ok(message) = PeerMessage::decode(bytes) else {
            LOG.debug("A datagram is not a peer message.");
            return;
        };
        let now = monotonic_now();
        let load_table = &node.state.load_table;
        if message.member == node.name
            || node.load.receive(&node.peers, load_table, from, &message)
            || prefix_index::receive(&node.peers, &node.prefix_index, from, &message)
            || receive_quota(node, from, &message)
        {
            return;
        }
        if self.peers.accept(&message) {
            apply_usage(node, now, &message);
        }
    }
}

/// Takes a datagram about quotas with owners. `false`: it is about something else.
fn receive_quota<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    from: SocketAddr,
    message: &PeerMessage,
) -> bool {
    let table = node.state.table();
    quota_service::receive(&node.peers, &table, &node.quotas, from, message)
        || node.quota_client.receive(&node.peers, message)
}

/// Resolves once peers are to be notified of an admission at once, not before `earliest`.
async fn until_urgent<P: ForwardProtocol>(node: &ForwardNode<P>, earliest: MonotonicTime) {
    tokio::time::sleep(earliest.since(monotonic_now())).await;
    node.quotas.until_urgent().await;
}

/// Publishes to the owners of prefix blocks which backends have them cached.
fn publish_locations<P: ForwardProtocol>(node: &ForwardNode<P>) {
    let ring = node.peers.ring(&node.state.table());
    prefix_index::publish(&node.peers, &ring, node.prefix_index.take_announcements());
}
