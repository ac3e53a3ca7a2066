//! Selection of free loopback ports for a fleet.

use std::collections::BTreeSet;
use std::net::TcpListener;

use millford_lab::fleet::ports::{BLOCK_PORTS, CHOSEN_PORTS, free_addresses};

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
fn used_ports_are_skipped_and_released_ports_are_reused_last() {
    let taken = free_addresses(50).expect("free ports");
    let listeners: Vec<_> = taken
        .iter()
        .map(|address| TcpListener::bind(address).expect("it is free"))
        .collect();
    for _ in 0..20 {
        let others = free_addresses(100).expect("free ports");
        assert!(taken.iter().all(|address| !others.contains(address)));
    }
    drop(listeners);
}

#[test]
fn the_port_block_of_a_running_process_is_reserved() {
    let own = free_addresses(1).expect("a free port")[0];
    let folder = std::env::temp_dir().join("millford-lab-ports");
    let block_start = own.port() - (own.port() - CHOSEN_PORTS.start) % BLOCK_PORTS;
    let file = folder.join(format!("block-{block_start}"));
    let held = std::fs::File::create(file).expect("the block's file");
    assert!(held.try_lock().is_err(), "the block of {own} is not locked");
}
