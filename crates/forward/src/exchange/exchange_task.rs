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

/// Interval of usage updates to all peers, in a fleet in which tenants have no owners.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of usage updates between the owners of a tenant. Urgent updates bound what the owners grant in between.
const OWNER_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two urgent updates between the owners of a tenant. Without it, each request of a tenant
/// that sends more than its quota would cause a datagram to every other owner.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of updates that cover all tenants, for peers that missed earlier updates.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Most datagrams that are received in one wake-up of the task, in addition to the first one.
const MAX_DATAGRAMS_PER_WAKE_UP: usize = 64;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Exchanges messages with the peers until the task is aborted.
pub async fn run<P: ForwardProtocol>(node: Arc<ForwardNode<P>>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    // `try_send_to` fails until the runtime has received the first readiness event of the socket.
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
                Err(error) => LOG.debug(format_args!("Failed to receive a peer datagram: {error}.")),
            },
        }
    }
}

/// State of the exchange task.
struct Exchange {
    encoder: UsageMessageEncoder,
    /// Sequence numbers of the usage messages received from peers.
    peers: PeerSequences,
    /// When the next update that covers all tenants is due.
    next_full: MonotonicTime,
    /// When the next periodic update between owners is due.
    next_owner_update: MonotonicTime,
    /// When the next urgent update between owners may be sent.
    urgent_after: MonotonicTime,
    /// When unchanged load is published again.
    next_republish: MonotonicTime,
    /// Backends whose load was published since the last republication.
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

    /// Runs the periodic work: charges assumed usage, republishes load and sends the usage updates that are due.
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

    /// Sends a usage update between two periodic ones.
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

    /// Reports to all peers the tokens that this node admitted.
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
            // A failure is handled like a lost datagram: the next update makes up for it.
            let _ = socket.send_to(&bytes, address).await;
        }
    }

    /// Reports to the other owners of each tenant the tokens that this node granted as an owner.
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

    /// Publishes this node's load on the backends on which it changed, to the owners of their counts.
    fn publish_load<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>) {
        let changed = node.state.load_table.take_changed();
        let ring = node.peers.ring(&node.state.table());
        let load_table = &node.state.load_table;
        node.load.publish(&node.peers, &ring, load_table, &changed);
        self.recently_published.extend(changed);
    }

    /// Publishes unchanged load again, at an interval and when this call is the first to use a changed ring: this
    /// makes up for lost updates and informs new owners. Also removes expired state.
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

    /// Receives the datagrams that have already arrived, up to [`MAX_DATAGRAMS_PER_WAKE_UP`], without waiting.
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
            LOG.debug("Ignoring a datagram that is not a valid peer message.");
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

/// Handles a datagram that contains an admission request or reply. Returns `false` if it contains none.
fn receive_quota<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    from: SocketAddr,
    message: &PeerMessage,
) -> bool {
    let table = node.state.table();
    quota_service::receive(&node.peers, &table, &node.quotas, from, message)
        || node.quota_client.receive(&node.peers, message)
}

/// Waits until peers are to be notified of an admission at once, and at least until `earliest`.
async fn until_urgent<P: ForwardProtocol>(node: &ForwardNode<P>, earliest: MonotonicTime) {
    tokio::time::sleep(earliest.since(monotonic_now())).await;
    node.quotas.until_urgent().await;
}

/// Publishes to the owners of prefix blocks the backends that this node sent the blocks to.
fn publish_locations<P: ForwardProtocol>(node: &ForwardNode<P>) {
    let ring = node.peers.ring(&node.state.table());
    prefix_index::publish(&node.peers, &ring, node.prefix_index.take_announcements());
}
