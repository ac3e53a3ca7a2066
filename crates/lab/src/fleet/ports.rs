//! Free loopback ports.
//!
//! A port is chosen before the process that will listen on it starts. The system gives ports of its
//! ephemeral range to outgoing connections and to whoever asks for any port, hundreds a second
//! while several fleets run, so one chosen there may be gone a moment later. These ports are drawn
//! below that range.

use std::net::{SocketAddr, TcpListener};
use std::ops::Range;

use rand::Rng;

use super::error::FleetError;

/// Ports to choose from: above the well-known services, below the usual ephemeral range.
pub const CHOSEN_PORTS: Range<u16> = 15_000..32_000;

/// Draws for each address before the search is given up.
const DRAWS_FOR_EACH: usize = 200;

/// Picks `count` free loopback addresses. All are held until the last is known, so none is
/// picked twice.
///
/// # Errors
/// No free port was found, which means that almost all of them are taken.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, FleetError> {
    let mut random = rand::rng();
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..count * DRAWS_FOR_EACH {
        if listeners.len() == count {
            break;
        }
        let port = random.random_range(CHOSEN_PORTS);
        let loopback = SocketAddr::from(([127, 0, 0, 1], port));
        listeners.extend(TcpListener::bind(loopback).ok());
    }
    if listeners.len() < count {
        let none_free = std::io::Error::from(std::io::ErrorKind::AddrInUse);
        return Err(FleetError::io("finding a free port")(none_free));
    }
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<Vec<_>, _>>()
        .map_err(FleetError::io("reading a bound address"))
}
