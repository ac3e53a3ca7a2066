//! Accepts and serves the connections of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use millford_bounded_io::{LogThrottle, StalledWriteStream, refuse_connection};
use millford_core::{Duration, ResultCode};
use millford_settings::PartLog;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::node::{DEFAULT_RETRY_AFTER, ForwardNode};
use crate::protocol::ForwardProtocol;
use crate::request::refusal::Refusal;
use crate::request::response_body::ResponseBody;
use crate::request::serve;

const LOG: PartLog = PartLog::new("CALLERS");

/// Delay after a failure to accept a connection. The usual cause is that the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a connection may be idle or take to send the headers of a request, if the configuration sets
/// no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Size of the buffer for the request line and headers, in bytes: the default limit of headers plus room for the
/// request line. Each open connection may allocate as much.
const HEAD_BUFFER_BYTES: usize = 18 * 1024;
/// Most connections above the limit that are answered with a refusal at the same time; further ones are closed without
/// an answer.
const MAX_REFUSALS: usize = 64;
/// Longest time that a write waits for a caller to read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Counts the open connections of callers, and closes them during shutdown.
#[derive(Clone, Debug)]
pub struct CallerConnections {
    open: Arc<AtomicUsize>,
    /// Connections above the limit that are answered with a refusal at the same time.
    refusals: Arc<Semaphore>,
    closing: watch::Sender<bool>,
}

impl Default for CallerConnections {
    fn default() -> Self {
        let (closing, _) = watch::channel(false);
        Self {
            open: Arc::default(),
            refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
            closing,
        }
    }
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerConnections {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn begin(&self) -> OpenConnection {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(&self.open))
    }

    /// Closes idle connections now, and the others once their responses are complete.
    pub fn close_when_idle(&self) {
        self.closing.send_replace(true);
    }
}

/// Accepts connections until the task is aborted.
pub async fn serve_callers<P: ForwardProtocol>(
    listener: TcpListener,
    node: Arc<ForwardNode<P>>,
    connections: CallerConnections,
) {
    let throttle = LogThrottle::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) if connections.open() >= node.bounds.max_connections => {
                refuse(stream, &node, &connections, &throttle);
            }
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let connection = serve_connection(stream, Arc::clone(&node), connections.clone());
                tokio::spawn(connection);
            }
            Err(error) => {
                LOG.warn(format!("Failed to accept a connection: {error}."));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers one request on a connection above the limit with a refusal, unless as many are being refused already.
fn refuse<P: ForwardProtocol>(
    stream: TcpStream,
    node: &Arc<ForwardNode<P>>,
    connections: &CallerConnections,
    throttle: &LogThrottle,
) {
    let over_limit = &node.state.metrics.over_limit;
    over_limit.with_label_values(&["connections"]).inc();
    if let Some(skipped) = throttle.permit() {
        LOG.warn(format_args!(
            "Refusing a connection: {} are open; {skipped} others were refused since the last line.",
            connections.open()
        ));
    }
    let Ok(permit) = Arc::clone(&connections.refusals).try_acquire_owned() else {
        return;
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        refuse_connection(stream, move || connection_limit_response(&node)).await;
        drop(permit);
    });
}

fn connection_limit_response<P: ForwardProtocol>(node: &ForwardNode<P>) -> Response<ResponseBody> {
    let refusal = Refusal::new(ResultCode::Overloaded);
    let refusal = refusal.with_retry_after(DEFAULT_RETRY_AFTER).closing();
    refusal.response(&node.protocol)
}

async fn serve_connection<P: ForwardProtocol>(
    stream: TcpStream,
    node: Arc<ForwardNode<P>>,
    connections: CallerConnections,
) {
    let _open = connections.begin();
    let idle_timeout = idle_timeout(&node);
    let service = service_fn(move |request| {
        let node = Arc::clone(&node);
        // Boxed, so that an idle connection does not occupy the memory of a request in flight.
        Box::pin(async move { Ok::<_, Infallible>(serve(node, request).await) })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(
            TokioIo::new(StalledWriteStream::new(stream, WRITE_TIMEOUT)),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let mut closing = connections.closing.subscribe();
    // An error means that the caller disconnected, was too slow or did not send valid HTTP.
    let must_close = tokio::select! {
        _ = connection.as_mut() => false,
        signalled = closing.wait_for(|closing| *closing) => signalled.is_ok(),
    };
    if must_close {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

fn idle_timeout<P: ForwardProtocol>(node: &ForwardNode<P>) -> Duration {
    let table = node.state.table();
    let limits = table.forward().limits();
    match limits.map_or(0, |limits| limits.idle_timeout_ms) {
        0 => DEFAULT_IDLE_TIMEOUT,
        millis => Duration::from_millis(u64::from(millis)),
    }
}
