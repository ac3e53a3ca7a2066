//! Free loopback ports.

use std::net::{SocketAddr, TcpListener};

use super::error::FleetError;

/// Picks `count` free loopback addresses. All are held until the last is known, so none is
/// picked twice.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, FleetError> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..count {
        let listener =
            TcpListener::bind(loopback).map_err(FleetError::io("binding a free port"))?;
        listeners.push(listener);
    }
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<Vec<_>, _>>()
        .map_err(FleetError::io("reading a bound address"))
}

/// Picks one free loopback address.
pub fn free_address() -> Result<SocketAddr, FleetError> {
    Ok(free_addresses(1)?[0])
}
