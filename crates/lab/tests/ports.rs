//! Ports of a fleet on loopback.

use std::collections::BTreeSet;
use std::net::TcpListener;

use millford_lab::fleet::ports::{CHOSEN_PORTS, free_addresses};

#[test]
fn addresses_are_free_distinct_and_outside_of_the_ephemeral_range() {
    let addresses = free_addresses(100).expect("a hundred free ports");
    let distinct: BTreeSet<_> = addresses.iter().collect();
    assert_eq!(distinct.len(), 100);
    for address in &addresses {
        assert!(CHOSEN_PORTS.contains(&address.port()), "{address}");
        TcpListener::bind(address).expect("it is free");
    }
}

#[test]
fn taken_ports_are_passed_over() {
    let taken: Vec<_> = free_addresses(100).expect("a hundred free ports");
    let listeners: Vec<_> = taken
        .iter()
        .map(|address| TcpListener::bind(address).expect("it is free"))
        .collect();
    let others = free_addresses(2_000).expect("two thousand free ports");
    assert!(taken.iter().all(|address| !others.contains(address)));
    drop(listeners);
}
