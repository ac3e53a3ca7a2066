//! HTTP/1.1 connections to peers whose answers are bounded.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use crate::read_allowance::{AllowanceStream, ReadAllowance};

/// Smallest limit for the head of an answer, in bytes: the smallest buffer that the HTTP library supports.
pub const MIN_HEAD_BYTES: u64 = 8 * 1024;
/// Bytes that a peer may send without completing anything, in multiples of the largest head: interim answers before the
/// head, and what the library reads ahead.
const ALLOWANCE_HEADS: usize = 4;

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct ClientConnection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// To be renewed whenever a head or bytes of a body were received.
    pub allowance: ReadAllowance,
    /// Drives the connection.
    pub task: ConnectionTask,
}

/// Aborts the task that drives a connection when dropped, which closes the connection.
#[derive(Debug)]
pub struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts HTTP/1.1 on a connection. Answers with a head of more than `max_head_bytes` fail.
///
/// # Errors
/// Fails with the error of the HTTP library.
pub async fn open_http(
    stream: TcpStream,
    max_head_bytes: usize,
) -> Result<ClientConnection, hyper::Error> {
    let buffer_bytes = max_head_bytes.max(MIN_HEAD_BYTES as usize);
    let allowance = ReadAllowance::new(buffer_bytes.saturating_mul(ALLOWANCE_HEADS));
    let stream = AllowanceStream::new(stream, allowance.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(buffer_bytes)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await?;
    let task = tokio::spawn(async move {
        // An error is also returned by the request that it affects.
        let _ = connection.await;
    });
    Ok(ClientConnection {
        sender,
        allowance,
        task: ConnectionTask(task),
    })
}

/// Whether the HTTP library gave up on a body because its own limits of trailers or chunk extensions were exceeded, which
/// it reports as invalid data.
#[must_use]
pub fn is_framing_excess(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let io_error = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    io_error.is_some_and(|error| error.kind() == std::io::ErrorKind::InvalidData)
}

/// Why a page could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The address is not an IP address with a port, or the request cannot be built.
    #[error("the address or the request is invalid")]
    Invalid,
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error("the exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The peer sent more than its limits allow.
    #[error("the peer sent more than its limits allow")]
    OverLimit,
}

/// Fetches pages, one at a time, and keeps its connection between them.
#[derive(Debug)]
pub struct BoundedHttpClient {
    max_head_bytes: usize,
    max_body_bytes: usize,
    connect_timeout: Duration,
    kept: Mutex<Option<(String, ClientConnection)>>,
}

impl BoundedHttpClient {
    /// Creates a client without a connection.
    #[must_use]
    pub fn new(max_head_bytes: usize, max_body_bytes: usize, connect_timeout: Duration) -> Self {
        Self {
            max_head_bytes,
            max_body_bytes,
            connect_timeout,
            kept: Mutex::default(),
        }
    }

    /// Fetches `path` (with the query) from `address`. Returns the status and the whole body.
    ///
    /// # Errors
    /// See [`FetchError`].
    pub async fn get(&self, address: &str, path: &str) -> Result<(StatusCode, Bytes), FetchError> {
        let kept = self.kept.lock().await.take();
        let usable = kept.filter(|(to, kept)| to == address && kept.sender.is_ready());
        let mut connection = match usable {
            Some((_, connection)) => connection,
            None => self.open(address).await?,
        };
        let request = Request::get(path).header(HOST, address);
        let request = request
            .body(Full::default())
            .map_err(|_| FetchError::Invalid)?;
        let fetched = self.exchange(&mut connection, request).await?;
        let is_reusable = connection.sender.ready().await.is_ok();
        if is_reusable {
            *self.kept.lock().await = Some((address.to_owned(), connection));
        }
        Ok(fetched)
    }

    async fn open(&self, address: &str) -> Result<ClientConnection, FetchError> {
        let address: SocketAddr = address.parse().map_err(|_| FetchError::Invalid)?;
        let connecting = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address));
        let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
        let stream = connecting.await.map_err(timed_out)??;
        stream.set_nodelay(true)?;
        Ok(open_http(stream, self.max_head_bytes).await?)
    }

    async fn exchange(
        &self,
        connection: &mut ClientConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), FetchError> {
        let allowance = connection.allowance.clone();
        allowance.renew();
        let failed = |error| {
            if allowance.is_exceeded() || is_framing_excess(&error) || error.is_parse_too_large() {
                FetchError::OverLimit
            } else {
                FetchError::Http(error)
            }
        };
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(failed)?;
        allowance.renew();
        let status = response.status();
        let body = response.into_body().map_frame(|frame| {
            allowance.renew();
            frame
        });
        let body = Limited::new(body, self.max_body_bytes).collect().await;
        let body = body.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return FetchError::OverLimit;
            }
            match error.downcast::<hyper::Error>() {
                Ok(error) => failed(*error),
                Err(_) => FetchError::OverLimit,
            }
        })?;
        Ok((status, body.to_bytes()))
    }
}
