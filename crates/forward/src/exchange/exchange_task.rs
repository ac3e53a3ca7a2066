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

use crate::exchange::news::{NewsWriter, take_news};
use crate::exchange::peer_table::PeerTable;
use crate::load::work_ledger::REPEAT_PERIOD;
use crate::node::ForwardNode;
use crate::owners::OwnerRing;
use crate::parts::shared_parts;
use crate::protocol::ForwardProtocol;

const LOG: PartLog = PartLog::new("PEERS");

/// Time between two rounds of news.
const ROUND_PERIOD: Duration = Duration::from_millis(100);

/// Time between two rounds of news between owners of a tenant. What they grant in between is bounded by
/// their telling each other at once.
const OWNERS_PERIOD: Duration = Duration::from_millis(200);

/// Shortest time between two tellings at once between owners of a tenant: while a tenant presses on,
/// each of its requests would cost a datagram to every one of them.
const OWNERS_PAUSE: Duration = Duration::from_millis(20);

/// Everything is told again after this long, for peers that missed it.
const WHOLE_PERIOD: Duration = Duration::from_millis(1000);

/// Datagrams taken in one go before other tasks get their turn.
const MOST_IN_ONE_GO: usize = 64;

/// Largest datagram that is read, in bytes.
const MOST_BYTES: usize = 65_536;

/// Exchanges news for as long as the process lives.
pub async fn run<P: ForwardProtocol>(node: Arc<ForwardNode<P>>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    // Before the first event of the socket nothing would leave.
    let _ = socket.writable().await;
    node.peers.connect(Arc::clone(&socket));
    let mut exchange = Exchange {
        writer: NewsWriter::new(rand::random()),
        peers: PeerTable::default(),
        next_whole: monotonic_now(),
        next_owned: monotonic_now(),
        urgent_after: monotonic_now(),
        next_repeat: monotonic_now(),
        told_lately: BTreeSet::new(),
    };
    let mut ticks = tokio::time::interval(ROUND_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        tokio::select! {
            _ = ticks.tick() => exchange.tick(&node, &socket).await,
            () = until_urgent(&node, exchange.urgent_after) => exchange.send_usage(&node, &socket).await,
            () = node.state.board.until_changed() => exchange.tell_work(&node),
            () = node.directory.until_news() => tell_places(&node),
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
    writer: NewsWriter,
    peers: PeerTable,
    next_whole: MonotonicTime,
    next_owned: MonotonicTime,
    /// When owners may next tell each other at once.
    urgent_after: MonotonicTime,
    next_repeat: MonotonicTime,
    /// Backends whose owners were told of work since the last repetition.
    told_lately: BTreeSet<String>,
}

impl Exchange {
    async fn tick<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>, socket: &UdpSocket) {
        let now = monotonic_now();
        node.quotas.tick(now, &node.zone);
        self.repeat_work(node, now);
        let (ring, _) = node.peers.ring(&node.state.table());
        let whole = now >= self.next_whole;
        if whole {
            self.next_whole = now + WHOLE_PERIOD;
            node.directory.expire(now);
        }
        if ring.has_tenant_owners() {
            if whole || now >= self.next_owned {
                self.next_owned = now + OWNERS_PERIOD;
                self.tell_owners(node, &ring, now, whole);
            }
            return;
        }
        if let Some(news) = self.writer.write(node, now, whole) {
            send_to_all(socket, &news, &ring.addresses_of_others(&node.name)).await;
        }
    }

    /// Tells what was admitted, between two rounds of news.
    async fn send_usage<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>, socket: &UdpSocket) {
        let now = monotonic_now();
        let (ring, _) = node.peers.ring(&node.state.table());
        if ring.has_tenant_owners() {
            self.urgent_after = now + OWNERS_PAUSE;
            self.tell_owners(node, &ring, now, false);
            return;
        }
        if let Some(news) = self.writer.write(node, now, false) {
            send_to_all(socket, &news, &ring.addresses_of_others(&node.name)).await;
        }
    }

    /// Tells the other owners of tenants what this node granted as one.
    fn tell_owners<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        ring: &OwnerRing,
        now: MonotonicTime,
        whole: bool,
    ) {
        for (address, news) in self.writer.write_owned(node, ring, now, whole) {
            node.peers.send(address, &news);
        }
    }

    /// Tells the owners of the counts what changed on their backends.
    fn tell_work<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>) {
        let changed = node.state.board.take_changed();
        let (ring, _) = node.peers.ring(&node.state.table());
        let board = &node.state.board;
        node.load.tell(&node.peers, &ring, board, &changed);
        self.told_lately.extend(changed);
    }

    /// Tells unchanged work again: what was lost is made good, and new owners learn what there is.
    fn repeat_work<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>, now: MonotonicTime) {
        let (ring, changed) = node.peers.ring(&node.state.table());
        if now < self.next_repeat && !changed {
            return;
        }
        self.next_repeat = now + REPEAT_PERIOD;
        node.load.expire(now);
        node.peers.expire(now);
        node.shared_quotas.expire(now);
        let mut backends = node.state.board.busy_backends();
        backends.append(&mut self.told_lately);
        let board = &node.state.board;
        node.load.tell(&node.peers, &ring, board, &backends);
    }

    /// Takes what else has arrived: one wake-up serves all of it.
    fn receive_waiting<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        socket: &UdpSocket,
        buffer: &mut [u8],
    ) {
        for _ in 0..MOST_IN_ONE_GO {
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
        news: &PeerMessage,
    ) -> bool {
        let table = node.state.table();
        let shared = &node.shared_quotas;
        shared.receive(&node.peers, &table, &node.quotas, from, news)
    }

    fn receive<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let Ok(news) = PeerMessage::decode(bytes) else {
            LOG.debug("A datagram is no news of a proxy.");
            return;
        };
        let now = monotonic_now();
        let board = &node.state.board;
        if news.member == node.name
            || node.load.receive(&node.peers, board, from, &news)
            || shared_parts::receive(&node.peers, &node.directory, from, &news)
            || self.receive_quota(node, from, &news)
        {
            return;
        }
        if !self.peers.take(&news) {
            return;
        }
        take_news(node, now, &news);
    }
}

/// Resolves once peers should hear of an admission at once, not before `earliest`.
async fn until_urgent<P: ForwardProtocol>(node: &ForwardNode<P>, earliest: MonotonicTime) {
    tokio::time::sleep(earliest.since(monotonic_now())).await;
    node.quotas.until_urgent().await;
}

/// Tells the owners of parts where they were read.
fn tell_places<P: ForwardProtocol>(node: &ForwardNode<P>) {
    let (ring, _) = node.peers.ring(&node.state.table());
    shared_parts::tell(&node.peers, &ring, node.directory.take_news());
}

async fn send_to_all(socket: &UdpSocket, news: &PeerMessage, addresses: &[SocketAddr]) {
    let bytes = news.encode_to_vec();
    for address in addresses {
        // A datagram that cannot be sent is as good as lost: the next one makes it good.
        let _ = socket.send_to(&bytes, address).await;
    }
}
