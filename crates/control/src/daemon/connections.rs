//! TCP connections that carry the links of the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use millford_api::internal::Frame;
use millford_bounded_io::LogThrottle;
use millford_transport::{FramedReader, FramedWriter, TransportError, accept, connect};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::event::{GatewayEvent, GatewayQueue};
use super::link_bounds::LinkBounds;
use crate::link::{LinkId, PeerKind};
use crate::node_input::NodeInput;

/// Capacity of a link's send queue, in frames.
const LINK_QUEUE_FRAMES: usize = 8192;

/// Most frames that are written before a flush.
const MAX_WRITE_BATCH: usize = 64;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time from the opening of a link to its first frame.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for writing a batch of frames, after which the link is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens links on behalf of the gateway.
#[derive(Clone)]
pub struct Connector {
    runtime: Handle,
    queue: GatewayQueue,
    bounds: LinkBounds,
}

impl Connector {
    /// Creates a connector that runs its connections on this runtime.
    #[must_use]
    pub fn new(runtime: Handle, queue: GatewayQueue, bounds: LinkBounds) -> Self {
        Self {
            runtime,
            queue,
            bounds,
        }
    }

    /// Opens a link. The gateway receives `LinkOpened`, or `LinkClosed` after a failure.
    pub fn connect(&self, link: LinkId, address: String) {
        let queue = self.queue.clone();
        let bounds = self.bounds.clone();
        self.runtime.spawn(async move {
            let opened = open(&address, &bounds).await;
            match opened {
                Some((reader, writer)) => {
                    serve(link, PeerKind::Outgoing, reader, writer, queue, bounds).await;
                }
                None => notify_closed(link, &queue),
            }
        });
    }
}

/// Accepts links until the process ends.
pub async fn listen(listener: TcpListener, queue: GatewayQueue, bounds: LinkBounds) {
    let throttle = LogThrottle::default();
    let numbers = Arc::new(AtomicU64::new(1));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely too many files are open: wait for other connections to close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&bounds.incoming).try_acquire_owned() else {
            if let Some(skipped) = throttle.permit() {
                super::LINK.warn(format_args!(
                    "Closing a new link, because too many are open; {skipped} others were closed since the last line."
                ));
            }
            continue;
        };
        let Ok((reader, writer)) = accept(stream, &bounds.frames) else {
            continue;
        };
        let link = LinkId(numbers.fetch_add(1, Ordering::Relaxed));
        let served = serve(
            link,
            PeerKind::Incoming,
            reader,
            writer,
            queue.clone(),
            bounds.clone(),
        );
        tokio::spawn(async move {
            served.await;
            drop(permit);
        });
    }
}

async fn open(
    address: &str,
    bounds: &LinkBounds,
) -> Option<(FramedReader<Frame>, FramedWriter<Frame>)> {
    let address: SocketAddr = address.parse().ok()?;
    let opened = connect(address, CONNECT_TIMEOUT, &bounds.frames).await;
    opened.ok()
}

/// Runs one link until either side closes it.
async fn serve(
    link: LinkId,
    peer: PeerKind,
    reader: FramedReader<Frame>,
    writer: FramedWriter<Frame>,
    queue: GatewayQueue,
    bounds: LinkBounds,
) {
    let (sender, frames) = mpsc::channel(LINK_QUEUE_FRAMES);
    let opened = queue.send(GatewayEvent::Link {
        link,
        writer: sender,
    });
    let announced = queue.send(GatewayEvent::Input(NodeInput::LinkOpened { link, peer }));
    if opened.is_err() || announced.is_err() {
        return;
    }
    tokio::select! {
        () = read_all(link, peer, reader, &queue, &bounds) => {}
        () = write_all(writer, frames) => {}
    }
    notify_closed(link, &queue);
}

async fn read_all(
    link: LinkId,
    peer: PeerKind,
    mut reader: FramedReader<Frame>,
    queue: &GatewayQueue,
    bounds: &LinkBounds,
) {
    // A peer that opened a link begins with a frame; one that does not would hold the link for ever.
    let first = match peer {
        PeerKind::Incoming => {
            match tokio::time::timeout(FIRST_FRAME_TIMEOUT, reader.next()).await {
                Ok(first) => first,
                Err(_) => return,
            }
        }
        PeerKind::Outgoing => reader.next().await,
    };
    let mut next = first;
    while let Some(received) = next {
        let frame = match received {
            Ok(frame) => frame,
            Err(error) => {
                log_excess(link, &error);
                return;
            }
        };
        let Some(permit) = bounds.queue_frame(&frame).await else {
            return;
        };
        let frame = Box::new(frame);
        let event = GatewayEvent::Frame {
            link,
            frame,
            permit,
        };
        if queue.send(event).is_err() {
            return;
        }
        next = reader.next().await;
    }
}

/// Logs an error that shows that the peer sent too much; others are ordinary ends of links.
fn log_excess(link: LinkId, error: &TransportError) {
    let is_excess = match error {
        TransportError::Budget(_) => true,
        TransportError::Io(error) => error.kind() == std::io::ErrorKind::InvalidData,
        TransportError::Decode(_) => false,
    };
    if is_excess {
        super::LINK.warn(format_args!("Closing link {}: {error}.", link.0));
    }
}

async fn write_all(mut writer: FramedWriter<Frame>, mut frames: mpsc::Receiver<Frame>) {
    let mut batch = Vec::with_capacity(MAX_WRITE_BATCH);
    while frames.recv_many(&mut batch, MAX_WRITE_BATCH).await > 0 {
        let written = tokio::time::timeout(WRITE_TIMEOUT, write(&mut writer, &mut batch)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}

async fn write(
    writer: &mut FramedWriter<Frame>,
    batch: &mut Vec<Frame>,
) -> Result<(), millford_transport::TransportError> {
    for frame in batch.drain(..) {
        writer.feed(frame).await?;
    }
    writer.flush().await
}

fn notify_closed(link: LinkId, queue: &GatewayQueue) {
    // The gateway's queue is closed only when the process exits.
    let _ = queue.send(GatewayEvent::Input(NodeInput::LinkClosed { link }));
}
