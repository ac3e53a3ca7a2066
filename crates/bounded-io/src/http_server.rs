//! HTTP/1.1 servers that bound the number of connections, the size of heads, and the pauses of their peers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use millford_settings::PartLog;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::log_throttle::LogThrottle;
use crate::stalled_write::StalledWriteStream;

/// Delay after a failure to accept a connection. The usual cause is that the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Most connections above the limit that are answered with a refusal at the same time; further ones are closed without
/// an answer.
const MAX_REFUSALS: usize = 64;
/// Longest time that a connection above the limit may take for its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest head of a request that is refused, in bytes; the smallest buffer that the HTTP library supports.
const REFUSED_HEAD_BYTES: usize = 8 * 1024;

/// Bounds of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerBounds {
    /// Most connections that are served at the same time.
    pub max_connections: usize,
    /// Longest time to receive the complete head of a request. It also limits how long a keep-alive connection may be
    /// idle.
    pub header_timeout: Duration,
    /// Longest time that a write waits for the peer to read.
    pub write_timeout: Duration,
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
}

impl Default for ServerBounds {
    /// Bounds of pages for operators and the platform, which few peers read.
    fn default() -> Self {
        Self {
            max_connections: 128,
            header_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(10),
            max_head_bytes: 16 * 1024,
        }
    }
}

/// Accepts connections and serves each with a clone of `service`, until the future is dropped. A connection above the
/// limit gets the answer `refusal`.
pub async fn serve_connections<S, B, R>(
    listener: TcpListener,
    service: S,
    bounds: ServerBounds,
    log: PartLog,
    refusal: fn() -> Response<R>,
) where
    S: HttpService<Incoming, ResBody = B> + Clone + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    R: Body + Send + 'static,
    R::Data: Send,
    R::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let max_connections = bounds.max_connections.min(Semaphore::MAX_PERMITS);
    let permits = Arc::new(Semaphore::new(max_connections));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    let throttle = LogThrottle::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log.warn(format_args!("Failed to accept a connection: {error}."));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            tokio::spawn(serve_connection(stream, service.clone(), bounds, permit));
            continue;
        }
        if let Some(skipped) = throttle.permit() {
            log.warn(format_args!(
                "Refusing a connection: {max_connections} are open; {skipped} others were refused since the last line."
            ));
        }
        if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
            tokio::spawn(async move {
                refuse_connection(stream, refusal).await;
                drop(permit);
            });
        }
    }
}

async fn serve_connection<S, B>(
    stream: TcpStream,
    service: S,
    bounds: ServerBounds,
    _permit: OwnedSemaphorePermit,
) where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let _ = stream.set_nodelay(true);
    let stream = StalledWriteStream::new(stream, bounds.write_timeout);
    // The result is ignored: the peer disconnected, was too slow or sent something else than HTTP.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .max_buf_size(bounds.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Answers one request with a refusal, whose connection is closed. The body of the request is not read.
pub async fn refuse_connection<B>(stream: TcpStream, refusal: impl Fn() -> Response<B>)
where
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let service = service_fn(|_: Request<Incoming>| {
        let response = refusal();
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(REFUSED_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, connection).await;
}

/// Builds an empty answer with status 503, for connections above a limit whose peers need no explanation.
#[must_use]
pub fn unavailable() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
