//! Connections of callers: how many there may be, and how long one may take over its headers.

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

use crate::daemon::responses::{HttpResponse, refusal_response, set};
use crate::request::refusal::Refusal;

const LOG: PartLog = PartLog::new("CALLERS");

/// Wait after a failure to accept, which mostly means that the process has no free descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Connections above the cap that are refused with an answer at one time; further ones are closed.
const MAX_REFUSALS: usize = 64;
/// Longest time that a connection above the cap may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// When a refused caller should come back, in milliseconds.
const RETRY_AFTER_MS: u32 = 1000;

/// Limits of the callers' connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Most connections open at one time.
    pub max_connections: usize,
    /// Longest time for the complete headers of a request, and for a kept-alive connection to be idle.
    pub header_timeout: Duration,
}

/// Accepts connections without end and serves each with the filter.
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
                LOG.warn(format!("A connection could not be accepted: {error}"));
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
    // An error here is a caller that disconnected, was too slow or spoke no HTTP.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Says that no further connection is served. Nothing of the request is read beyond its headers.
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
    set(&mut response, "connection", "close");
    response
}
