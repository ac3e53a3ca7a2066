//! Stands between proxies and counts their datagrams.
//!
//! Each proxy has a door: the address that the others know it by. The door of the receiver takes a
//! datagram, and the door of the sender hands it on, so that the receiver's answer comes back the same way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Largest datagram, in bytes.
const MOST_BYTES: usize = 65_536;

/// Bytes of the IP and UDP headers of a datagram.
pub const HEADER_BYTES: u64 = 28;

/// What one proxy sent and received, headers included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Of these, to other zones.
    pub sent_bytes_elsewhere: u64,
    /// Datagrams received.
    pub received: u64,
}

#[derive(Debug, Default)]
struct Counter {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    sent_bytes_elsewhere: AtomicU64,
    received: AtomicU64,
}

#[derive(Debug)]
struct Member {
    zone: String,
    /// Where the proxy itself takes datagrams.
    address: SocketAddr,
    door: UdpSocket,
    counter: Counter,
}

/// The doors of all proxies.
#[derive(Debug)]
pub struct Switchboard {
    members: Arc<Vec<Member>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Switchboard {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Switchboard {
    /// Opens a door for each proxy, given by its zone and address.
    ///
    /// # Errors
    /// A socket cannot be opened.
    pub async fn open(proxies: Vec<(String, SocketAddr)>) -> std::io::Result<Self> {
        let mut members = Vec::new();
        let mut by_address = BTreeMap::new();
        for (zone, address) in proxies {
            by_address.insert(address, members.len());
            members.push(Member {
                zone,
                address,
                door: UdpSocket::bind("127.0.0.1:0").await?,
                counter: Counter::default(),
            });
        }
        let members = Arc::new(members);
        let by_address = Arc::new(by_address);
        let tasks = (0..members.len()).map(|to| {
            let (members, by_address) = (Arc::clone(&members), Arc::clone(&by_address));
            tokio::spawn(async move { hand_on(&members, &by_address, to).await })
        });
        Ok(Self {
            tasks: tasks.collect(),
            members,
        })
    }

    /// The addresses that the proxies know each other by.
    ///
    /// # Errors
    /// A door has no address.
    pub fn doors(&self) -> std::io::Result<Vec<SocketAddr>> {
        let doors = self.members.iter().map(|member| member.door.local_addr());
        doors.collect()
    }

    /// What each proxy sent and received so far.
    #[must_use]
    pub fn counts(&self) -> Vec<NodeCounts> {
        let counts = self.members.iter().map(|member| NodeCounts {
            sent: member.counter.sent.load(Ordering::Relaxed),
            sent_bytes: member.counter.sent_bytes.load(Ordering::Relaxed),
            sent_bytes_elsewhere: member.counter.sent_bytes_elsewhere.load(Ordering::Relaxed),
            received: member.counter.received.load(Ordering::Relaxed),
        });
        counts.collect()
    }
}

/// Hands on what comes to one proxy's door.
async fn hand_on(members: &[Member], by_address: &BTreeMap<SocketAddr, usize>, to: usize) {
    let receiver = &members[to];
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let Ok((length, from)) = receiver.door.recv_from(&mut buffer).await else {
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
            let elsewhere = &sender.counter.sent_bytes_elsewhere;
            elsewhere.fetch_add(bytes, Ordering::Relaxed);
        }
        receiver.counter.received.fetch_add(1, Ordering::Relaxed);
        // A datagram that cannot be handed on is lost, as on a network.
        let _ = sender
            .door
            .send_to(&buffer[..length], receiver.address)
            .await;
    }
}
