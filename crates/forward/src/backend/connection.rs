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

/// Idle time of the connection after which the system sends keepalive probes.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between two such probes.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that end the connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Bytes that are not acknowledged for this long end the connection. A backend that is only slow
/// acknowledges them: this notices one that is gone without a word, not one that is busy.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Ends the connection's task, and with it the connection, when dropped.
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

/// How a request failed.
#[derive(Debug)]
pub enum SendError {
    /// Not a byte of it was sent: the connection had ended before.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection ended after part of it may have been sent.
    Lost,
}

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// The system's error, or a time-out.
    pub async fn open(address: &str, timeout: Duration) -> std::io::Result<Self> {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connecting.await??;
        prepare(&stream)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // What went wrong shows in the requests.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _task: ConnectionTask(task),
        })
    }

    /// Whether the connection can take a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    /// [`SendError::Unsent`] is proof that the backend got nothing.
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

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_PROBE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
