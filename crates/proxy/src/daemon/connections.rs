//! Accepts callers' connections and limits their number and the time to receive request headers.

use std::convert::Infallible;
use std::sync::Arc;

use futures::TryFuture;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use millford_core::{Duration, ResultCode};
use millford_settings::PartLog;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use warp::Filter;

use crate::daemon::responses::{HttpResponse, refusal_response, set_header};
use crate::request::refusal::Refusal;

const LOG: PartLog = PartLog::new("CALLERS");

/// Delay after a failure to accept a connection. The usual cause is that the process has no free
/// file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Most connections above the limit that are answered with a refusal at the same time; further ones
/// are closed without an answer.
const MAX_REFUSALS: usize = 64;
/// Longest time that a connection above the limit may take for its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry delay suggested in the refusal, in milliseconds.
const RETRY_AFTER_MS: u32 = 1000;

/// Limits of the callers' connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Most connections that are served at the same time.
    pub max_connections: usize,
    /// Longest time to receive the complete headers of a request. It also limits how long a
    /// keep-alive connection may be idle.
    pub header_timeout: Duration,
}

/// Accepts connections and serves each with the filter, until the future is dropped.
pub async fn serve_connections<F>(listener: TcpListener, filter: F, limits: ConnectionLimits)
where
    F: Filter<Extract = (HttpResponse,), Error = Infallible> + Clone + Send + Sync + 'static,
    F::Future: TryFuture<Ok = (HttpResponse,), Error = Infallible> + Send,
{
    let max_connections = limits.max_connections.min(Semaphore::MAX_PERMITS);
    let permits = Arc::new(Semaphore::new(max_connections));
    let refusal_permits = Arc::new(Semaphore::new(MAX_REFUSALS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                LOG.warn(format!("Failed to accept a connection: {error}"));
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            tokio::spawn(serve(stream, filter.clone(), limits.header_timeout, permit));
        } else if let Ok(permit) = Arc::clone(&refusal_permits).try_acquire_owned() {
            tokio::spawn(refuse(stream, permit));
        }
    }
}

async fn serve<F>(
    stream: TcpStream,
    filter: F,
    header_timeout: Duration,
    _permit: OwnedSemaphorePermit,
) where
    F: Filter<Extract = (HttpResponse,), Error = Infallible> + Clone + Send + Sync + 'static,
    F::Future: TryFuture<Ok = (HttpResponse,), Error = Infallible> + Send,
{
    let service = TowerToHyperService::new(warp::service(filter));
    // The result is ignored: the caller disconnected, was too slow or sent something else than
    // HTTP.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Answers one request with the refusal for too many connections. The body of the request is not
/// read.
async fn refuse(stream: TcpStream, _permit: OwnedSemaphorePermit) {
    let service = service_fn(|_| async { Ok::<_, Infallible>(connection_limit_response()) });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, connection).await;
}

fn connection_limit_response() -> HttpResponse {
    let refusal = Refusal::not_run(ResultCode::Overloaded)
        .with_retry_after(RETRY_AFTER_MS)
        .with_detail("Too many connections are open.");
    let mut response = refusal_response(&refusal);
    set_header(&mut response, "connection", "close");
    response
}
