//! Tests of the exchange measurement: the relay's counts, the figures and the fit of their growth.

use std::net::SocketAddr;

use millford_scale::exchange::datagram_relay::HEADER_BYTES;
use millford_scale::exchange::run::{line, summary};
use millford_scale::exchange::{DatagramRelay, ExchangeFigures, Growth, NodeCounts, ProxyFleet};
use quickcheck::quickcheck;
use tokio::net::UdpSocket;

async fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

#[tokio::test]
async fn replies_return_through_the_relay_and_both_directions_are_counted() {
    let (requester, requester_address) = socket().await;
    let (owner, owner_address) = socket().await;
    let proxies = vec![
        ("a".to_owned(), requester_address),
        ("b".to_owned(), owner_address),
    ];
    let relay = DatagramRelay::open(proxies).await.expect("endpoints");
    let addresses = relay.endpoint_addresses().expect("addresses");
    let mut buffer = [0; 64];
    requester
        .send_to(b"question", addresses[1])
        .await
        .expect("sent");
    let (length, from) = owner.recv_from(&mut buffer).await.expect("received");
    assert_eq!(&buffer[..length], b"question");
    assert_eq!(from, addresses[0], "the requesting proxy's relay address");
    owner.send_to(b"answer", from).await.expect("sent");
    let (length, from) = requester.recv_from(&mut buffer).await.expect("received");
    assert_eq!(
        (&buffer[..length], from),
        (b"answer".as_slice(), addresses[1])
    );
    let counts = relay.counts();
    assert_eq!(counts[0].sent_bytes, 8 + HEADER_BYTES);
    assert_eq!(counts[1].sent_bytes_to_other_zones, 6 + HEADER_BYTES);
    assert_eq!((counts[0].sent, counts[0].received), (1, 1));
}

#[tokio::test]
async fn datagrams_of_unknown_senders_are_not_forwarded() {
    let (stranger, _) = socket().await;
    let (one, one_address) = socket().await;
    let (other, other_address) = socket().await;
    let proxies = vec![
        ("a".to_owned(), one_address),
        ("a".to_owned(), other_address),
    ];
    let relay = DatagramRelay::open(proxies).await.expect("endpoints");
    let addresses = relay.endpoint_addresses().expect("addresses");
    stranger
        .send_to(b"stray", addresses[0])
        .await
        .expect("sent");
    other.send_to(b"known", addresses[0]).await.expect("sent");
    let mut buffer = [0; 64];
    let (length, _) = one.recv_from(&mut buffer).await.expect("received");
    assert_eq!(&buffer[..length], b"known");
    let counts = relay.counts();
    assert_eq!(
        (counts[0].received, counts[1].sent_bytes_to_other_zones),
        (1, 0)
    );
}

#[tokio::test]
async fn every_proxy_of_a_fleet_is_in_the_ring_and_large_fleets_have_tenant_owners() {
    for (count, has_owners) in [(6, false), (24, true)] {
        let fleet = ProxyFleet::start(count).await.expect("sockets");
        let node = &fleet.nodes[0];
        let ring = node.peers.ring(&node.state.table());
        assert_eq!(ring.member_count(), count);
        assert_eq!(ring.has_tenant_owners(), has_owners);
        assert_eq!(fleet.counts().len(), count);
    }
}

#[test]
fn figures_cover_the_time_between_two_counts() {
    let count = |sent, received| NodeCounts {
        sent,
        received,
        sent_bytes: sent * 100,
        sent_bytes_to_other_zones: sent * 50,
    };
    let before = [count(10, 0), count(20, 10)];
    let after = [count(30, 20), count(80, 30)];
    let figures = ExchangeFigures::between(&before, &after, 2.0);
    assert_eq!((figures.nodes, figures.datagrams), (2, 20.0));
    assert_eq!(figures.busiest_datagrams, 40.0);
    assert_eq!(
        (figures.bytes, figures.bytes_to_other_zones),
        (2000.0, 1000.0)
    );
    assert!(line(&figures).contains("20.0 datagrams/s"));
    assert!(summary(&[figures]).contains("too few sizes"));
}

quickcheck! {
    /// Figures that follow an exact power of the number of nodes yield its exponent.
    fn an_exact_power_law_yields_its_exponent(exponent: i8, factor: u8) -> bool {
        let exponent = f64::from(exponent % 4) / 2.0;
        let factor = f64::from(factor) + 1.0;
        let points = [10_usize, 30, 100, 300].map(|nodes| {
            (nodes, factor * (nodes as f64).powf(exponent))
        });
        let growth = Growth::of(&points).expect("four sizes");
        (growth.exponent - exponent).abs() < 1e-6 && growth.standard_error < 1e-6
    }
}
