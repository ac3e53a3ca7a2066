//! TCP connections that carry the links of the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use millford_api::internal::Frame;
use millford_transport::{FramedReader, FramedWriter, accept, connect};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::event::{GatewayEvent, GatewayQueue};
use crate::link::{LinkId, PeerKind};
use crate::node_input::NodeInput;

/// Capacity of a link's send queue, in frames.
const LINK_QUEUE_FRAMES: usize = 8192;

/// Most frames that are written before a flush.
const MAX_WRITE_BATCH: usize = 64;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for writing a batch of frames, after which the link is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens links on behalf of the gateway.
#[derive(Clone)]
pub struct Connector {
    runtime: Handle,
    queue: GatewayQueue,
}

impl Connector {
    /// Creates a connector that runs its connections on this runtime.
    #[must_use]
    pub fn new(runtime: Handle, queue: GatewayQueue) -> Self {
        Self { runtime, queue }
    }

    /// Opens a link. The gateway receives `LinkOpened`, or `LinkClosed` after a failure.
    pub fn connect(&self, link: LinkId, address: String) {
        let queue = self.queue.clone();
        self.runtime.spawn(async move {
            let opened = open(&address).await;
            match opened {
                Some((reader, writer)) => {
                    serve(link, PeerKind::Outgoing, reader, writer, queue).await;
                }
                None => notify_closed(link, &queue),
            }
        });
    }
}

/// Accepts links until the process ends.
pub async fn listen(listener: TcpListener, queue: GatewayQueue) {
    let numbers = Arc::new(AtomicU64::new(1));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely too many files are open: wait for other connections to close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok((reader, writer)) = accept(stream) else {
            continue;
        };
        let link = LinkId(numbers.fetch_add(1, Ordering::Relaxed));
        tokio::spawn(serve(
            link,
            PeerKind::Incoming,
            reader,
            writer,
            queue.clone(),
        ));
    }
}

async fn open(address: &str) -> Option<(FramedReader<Frame>, FramedWriter<Frame>)> {
    let address: SocketAddr = address.parse().ok()?;
    connect(address, CONNECT_TIMEOUT).await.ok()
}

/// Runs one link until either side closes it.
async fn serve(
    link: LinkId,
    peer: PeerKind,
    reader: FramedReader<Frame>,
    writer: FramedWriter<Frame>,
    queue: GatewayQueue,
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
        () = read_all(link, reader, &queue) => {}
        () = write_all(writer, frames) => {}
    }
    notify_closed(link, &queue);
}

async fn read_all(link: LinkId, mut reader: FramedReader<Frame>, queue: &GatewayQueue) {
    while let Some(Ok(frame)) = reader.next().await {
        let input = NodeInput::Frame { link, frame };
        if queue.send(GatewayEvent::Input(input)).is_err() {
            return;
        }
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
