//! One HTTP/1.1 connection to a backend.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use millford_core::Duration;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Idle time of a connection after which the operating system sends TCP keepalive probes.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between two keepalive probes.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection with unacknowledged bytes is closed (`TCP_USER_TIMEOUT`). The operating system of
/// a busy backend still acknowledges them, so that this detects only an unreachable backend.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Aborts the connection's task when dropped, which closes the connection.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
}

/// Why a request on a connection failed.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent, because the connection was closed already. Contains the request.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection was lost after part of the request may have been sent.
    Lost,
}

impl Connection {
    /// Opens a connection to `address` (IP address and port) within `timeout`.
    ///
    /// # Errors
    /// Fails if the address cannot be parsed, with the operating system's error, or with
    /// [`std::io::ErrorKind::TimedOut`].
    pub async fn open(address: &str, timeout: Duration) -> std::io::Result<Self> {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connecting.await??;
        configure_socket(&stream)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // An error is also returned by the request that it affects.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _task: ConnectionTask(task),
        })
    }

    /// Whether the connection can send a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the response headers.
    ///
    /// # Errors
    /// [`SendError::Unsent`] guarantees that the backend received nothing.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::Unsent(Box::new(request)),
            None => SendError::Lost,
        })
    }
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_PROBE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
