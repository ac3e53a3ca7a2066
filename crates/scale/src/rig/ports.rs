//! Choice of free loopback ports.

use std::net::{SocketAddr, TcpListener};

use crate::error::ScaleError;

/// Returns `count` distinct loopback addresses whose ports were free when checked. Another process may take
/// a port before it is used.
///
/// # Errors
/// Fails when the operating system has no free port.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, ScaleError> {
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..count {
        let listener =
            TcpListener::bind("127.0.0.1:0").map_err(ScaleError::system("find a free port"));
        listeners.push(listener?);
    }
    let addresses = listeners.iter().map(TcpListener::local_addr);
    let addresses: Result<Vec<SocketAddr>, std::io::Error> = addresses.collect();
    addresses.map_err(ScaleError::system("find a free port"))
}
