//! One HTTP/1.1 connection to a backend.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use millford_bounded_io::{ClientConnection, ReadAllowance, open_http};
use millford_core::Duration;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time of a connection after which the operating system sends TCP keepalive probes.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between two keepalive probes.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection with unacknowledged bytes is closed (`TCP_USER_TIMEOUT`). The operating system of
/// a busy backend still acknowledges them, so that this detects only an unreachable backend.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Bytes that the operating system holds of a backend before they are read; a few parts of a body.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection(ClientConnection);

/// Why a request on a connection failed.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent, because the connection was closed already. Contains the request.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection was lost after part of the request may have been sent.
    Lost,
    /// The backend sent more than the limit of a head, interim answers included.
    OverLimit,
}

impl Connection {
    /// Opens a connection to `address` (IP address and port) within `timeout`. Answers with a head of more than
    /// `max_head_bytes` fail.
    ///
    /// # Errors
    /// Fails if the address cannot be parsed, with the operating system's error, or with
    /// [`std::io::ErrorKind::TimedOut`].
    pub async fn open(
        address: &str,
        timeout: Duration,
        max_head_bytes: usize,
    ) -> std::io::Result<Self> {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connecting.await??;
        configure_socket(&stream)?;
        let opened = open_http(stream, max_head_bytes).await;
        Ok(Self(opened.map_err(std::io::Error::other)?))
    }

    /// Returns the allowance for bytes that complete nothing. It is to be renewed with each part of a body.
    #[must_use]
    pub fn allowance(&self) -> &ReadAllowance {
        &self.0.allowance
    }

    /// Whether the connection can send a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.sender.is_ready()
    }

    /// Sends a request and reads the response headers.
    ///
    /// # Errors
    /// [`SendError::Unsent`] guarantees that the backend received nothing.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.0.allowance.renew();
        let response = self.0.sender.try_send_request(request).await;
        self.0.allowance.renew();
        response.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::Unsent(Box::new(request)),
            None if self.is_over_limit(error.error()) => SendError::OverLimit,
            None => SendError::Lost,
        })
    }

    /// Whether the connection failed because the backend sent too much: a head larger than the buffer, or too many bytes
    /// that complete nothing.
    fn is_over_limit(&self, error: &hyper::Error) -> bool {
        error.is_parse_too_large() || self.0.allowance.is_exceeded()
    }
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // Without it the operating system holds megabytes of each backend that sends faster than its answer is relayed. The
    // connection works without it too.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_PROBE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
