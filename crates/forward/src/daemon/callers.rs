//! Connections of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use millford_core::Duration;
use millford_settings::PartLog;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
use crate::request::serve;

const LOG: PartLog = PartLog::new("CALLERS");

/// Wait after a failure to accept, which mostly means that the process has no free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time for the headers of a request, and for a kept connection to be idle, where the
/// configuration sets none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Room for the head of a request, in bytes: the usual limit of headers and the request line. Every
/// open connection may keep as much.
const HEAD_BUFFER_BYTES: usize = 18 * 1024;

/// Counts open connections, and tells them to close once their request is answered.
#[derive(Clone, Debug)]
pub struct CallerConnections {
    open: Arc<AtomicUsize>,
    closing: watch::Sender<bool>,
}

impl Default for CallerConnections {
    fn default() -> Self {
        let (closing, _) = watch::channel(false);
        Self {
            open: Arc::default(),
            closing,
        }
    }
}

impl CallerConnections {
    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Idle connections close now, the others once their request is answered.
    pub fn close_when_idle(&self) {
        self.closing.send_replace(true);
    }
}

/// Accepts connections without end.
pub async fn serve_callers<P: ForwardProtocol>(
    listener: TcpListener,
    node: Arc<ForwardNode<P>>,
    connections: CallerConnections,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let connection = serve_connection(stream, Arc::clone(&node), connections.clone());
                tokio::spawn(connection);
            }
            Err(error) => {
                LOG.warn(format!("A connection could not be accepted: {error}"));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<P: ForwardProtocol>(
    stream: TcpStream,
    node: Arc<ForwardNode<P>>,
    connections: CallerConnections,
) {
    connections.open.fetch_add(1, Ordering::Relaxed);
    let idle_timeout = idle_timeout(&node);
    let service = service_fn(move |request| {
        let node = Arc::clone(&node);
        // In a box of its own: an idle connection need not keep the place of a request under way.
        Box::pin(async move { Ok::<_, Infallible>(serve(node, request).await) })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = connections.closing.subscribe();
    // An error here is a caller that left, was too slow or spoke no HTTP.
    let closes = tokio::select! {
        _ = connection.as_mut() => false,
        signalled = closing.wait_for(|closing| *closing) => signalled.is_ok(),
    };
    if closes {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    connections.open.fetch_sub(1, Ordering::Relaxed);
}

fn idle_timeout<P: ForwardProtocol>(node: &ForwardNode<P>) -> Duration {
    let table = node.state.table();
    let limits = table.forward().limits();
    match limits.map_or(0, |limits| limits.idle_timeout_ms) {
        0 => DEFAULT_IDLE_TIMEOUT,
        millis => Duration::from_millis(u64::from(millis)),
    }
}
