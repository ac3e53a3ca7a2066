//! Clients of faulty backends, which read whatever comes until the connection ends.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::configuration::{HOST, PERMANENT_KEY, ROUTE_TIMEOUT_MS};

/// Pause of a client before it asks again.
const PAUSE: Duration = Duration::from_millis(20);
/// Size of the blocks that are read, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// Asks the faulty backends of a route again and again, and reads and drops what comes, until the task is aborted.
pub async fn ask_faulty(address: SocketAddr, path: &str, number: usize) {
    for attempt in 0.. {
        let _ = ask_faulty_once(address, path, &format!("{number}-{attempt}")).await;
        sleep(PAUSE).await;
    }
}

async fn ask_faulty_once(address: SocketAddr, path: &str, id: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "POST {path}item HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: faulty-{id}\r\n\
         time-budget-ms: {ROUTE_TIMEOUT_MS}\r\nauthorization: Token {PERMANENT_KEY}\r\ncontent-length: 1\r\n\
         connection: close\r\n\r\nx"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut block = vec![0; BLOCK_BYTES];
    while stream.read(&mut block).await? > 0 {}
    Ok(())
}
