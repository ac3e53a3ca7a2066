//! Free loopback ports.

use std::net::{SocketAddr, TcpListener};

use crate::error::ScaleError;

/// Loopback addresses whose ports were free a moment ago, all different.
///
/// # Errors
/// Fails when the system gives no port.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, ScaleError> {
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(ScaleError::system("find a port"));
        listeners.push(listener?);
    }
    let addresses = listeners.iter().map(TcpListener::local_addr);
    let addresses: Result<Vec<SocketAddr>, std::io::Error> = addresses.collect();
    addresses.map_err(ScaleError::system("find a port"))
}
