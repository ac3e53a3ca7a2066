//! UDP relay between proxies that counts their datagrams.
//!
//! Each proxy has a relay endpoint whose address the other proxies are configured with. The receiver's endpoint
//! receives a datagram and the sender's endpoint forwards it, so that replies pass through the relay too.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
pub const HEADER_BYTES: u64 = 28;

/// Cumulative traffic of one proxy. Bytes include the IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Bytes sent to all zones.
    pub sent_bytes: u64,
    /// Bytes sent to other zones.
    pub sent_bytes_to_other_zones: u64,
    /// Number of datagrams received.
    pub received: u64,
}

#[derive(Debug, Default)]
struct Counter {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    sent_bytes_to_other_zones: AtomicU64,
    received: AtomicU64,
}

#[derive(Debug)]
struct Member {
    zone: String,
    /// Address on which the proxy itself receives datagrams.
    address: SocketAddr,
    endpoint: UdpSocket,
    counter: Counter,
}

/// The relay endpoints of all proxies; their tasks are aborted on drop.
#[derive(Debug)]
pub struct DatagramRelay {
    members: Arc<Vec<Member>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl DatagramRelay {
    /// Opens a relay endpoint for each proxy, which is given by its zone and its own address.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub async fn open(proxies: Vec<(String, SocketAddr)>) -> std::io::Result<Self> {
        let mut members = Vec::new();
        let mut by_address = BTreeMap::new();
        for (zone, address) in proxies {
            by_address.insert(address, members.len());
            members.push(Member {
                zone,
                address,
                endpoint: UdpSocket::bind("127.0.0.1:0").await?,
                counter: Counter::default(),
            });
        }
        let members = Arc::new(members);
        let by_address = Arc::new(by_address);
        let tasks = (0..members.len()).map(|to| {
            let (members, by_address) = (Arc::clone(&members), Arc::clone(&by_address));
            tokio::spawn(async move { forward(&members, &by_address, to).await })
        });
        Ok(Self {
            tasks: tasks.collect(),
            members,
        })
    }

    /// Returns the relay address of each proxy, in the order given to [`Self::open`].
    ///
    /// # Errors
    /// Fails when the operating system does not return an endpoint's address.
    pub fn endpoint_addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        let addresses = self
            .members
            .iter()
            .map(|member| member.endpoint.local_addr());
        addresses.collect()
    }

    /// Returns the traffic of each proxy so far, in the order given to [`Self::open`].
    #[must_use]
    pub fn counts(&self) -> Vec<NodeCounts> {
        let counts = self.members.iter().map(|member| NodeCounts {
            sent: member.counter.sent.load(Ordering::Relaxed),
            sent_bytes: member.counter.sent_bytes.load(Ordering::Relaxed),
            sent_bytes_to_other_zones: member
                .counter
                .sent_bytes_to_other_zones
                .load(Ordering::Relaxed),
            received: member.counter.received.load(Ordering::Relaxed),
        });
        counts.collect()
    }
}

/// Forwards the datagrams that arrive at the endpoint of proxy `to`, until the task is aborted. Datagrams of
/// unknown senders are dropped.
async fn forward(members: &[Member], by_address: &BTreeMap<SocketAddr, usize>, to: usize) {
    let receiver = &members[to];
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = receiver.endpoint.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(from) = by_address.get(&from) else {
            continue;
        };
        let sender = &members[*from];
        let bytes = length as u64 + HEADER_BYTES;
        sender.counter.sent.fetch_add(1, Ordering::Relaxed);
        sender
            .counter
            .sent_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        if sender.zone != receiver.zone {
            let to_other_zones = &sender.counter.sent_bytes_to_other_zones;
            to_other_zones.fetch_add(bytes, Ordering::Relaxed);
        }
        receiver.counter.received.fetch_add(1, Ordering::Relaxed);
        // A datagram that cannot be forwarded is dropped, as on a real network.
        let _ = sender
            .endpoint
            .send_to(&buffer[..length], receiver.address)
            .await;
    }
}
