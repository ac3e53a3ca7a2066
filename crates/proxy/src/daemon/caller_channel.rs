//! Channel for the response, from the request path to the HTTP server.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::request::caller::{CallerDisconnected, CallerHead, CallerPresence, CallerSink};

/// Most parts of a body that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 16;
/// Most bytes that are buffered for a slow caller, unless a single part is larger.
const BUFFERED_BYTES: usize = 64 * 1024;

/// A part of a body, with its room among the buffered bytes.
type BufferedChunk = (Bytes, OwnedSemaphorePermit);

/// Sending end, which the request path writes to.
#[derive(Debug)]
pub struct ChannelSink {
    head: Option<oneshot::Sender<CallerHead>>,
    chunks: mpsc::Sender<BufferedChunk>,
    room: Arc<Semaphore>,
    complete: Arc<AtomicBool>,
    disconnected: CancellationToken,
}

/// Detects that the HTTP server dropped the response because the caller disconnected.
#[derive(Clone, Debug)]
pub struct ChannelPresence(CancellationToken);

/// Receiving end, which the HTTP server reads: the head, then the body.
#[derive(Debug)]
pub struct CallerChannel {
    /// Receives the head once the request path has sent it.
    pub head: oneshot::Receiver<CallerHead>,
    /// Body of the response, as a stream of its parts.
    pub body: CallerBody,
}

/// Body of the response. If the request path ends without finishing it, the stream ends with an
/// error. Dropping the body signals the caller's disconnect.
#[derive(Debug)]
pub struct CallerBody {
    chunks: mpsc::Receiver<BufferedChunk>,
    complete: Arc<AtomicBool>,
    ended: bool,
    _disconnect_on_drop: DropGuard,
}

/// Error at the end of a body that the request path did not finish.
#[derive(Debug, thiserror::Error)]
#[error("the response body is incomplete")]
pub struct BodyTruncated;

/// Creates a channel for one response.
#[must_use]
pub fn caller_channel() -> (ChannelSink, CallerChannel) {
    let (head_sender, head) = oneshot::channel();
    let (chunk_sender, chunks) = mpsc::channel(BUFFERED_CHUNKS);
    let disconnected = CancellationToken::new();
    let complete = Arc::new(AtomicBool::new(false));
    let sink = ChannelSink {
        head: Some(head_sender),
        chunks: chunk_sender,
        room: Arc::new(Semaphore::new(BUFFERED_BYTES)),
        complete: Arc::clone(&complete),
        disconnected: disconnected.clone(),
    };
    let body = CallerBody {
        chunks,
        complete,
        ended: false,
        _disconnect_on_drop: disconnected.drop_guard(),
    };
    (sink, CallerChannel { head, body })
}

impl CallerPresence for ChannelPresence {
    fn disconnected(&self) -> impl Future<Output = ()> + Send {
        self.0.cancelled()
    }
}

impl CallerSink for ChannelSink {
    type Presence = ChannelPresence;

    fn presence(&self) -> ChannelPresence {
        ChannelPresence(self.disconnected.clone())
    }

    async fn begin(&mut self, head: CallerHead) -> Result<(), CallerDisconnected> {
        let sender = self.head.take().ok_or(CallerDisconnected)?;
        sender.send(head).map_err(|_| CallerDisconnected)
    }

    async fn send(&mut self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        let weight = u32::try_from(bytes.len().min(BUFFERED_BYTES)).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.room);
        let room = tokio::select! {
            room = room.acquire_many_owned(weight) => room.map_err(|_| CallerDisconnected)?,
            () = self.disconnected.cancelled() => return Err(CallerDisconnected),
        };
        let sent = self.chunks.send((bytes, room)).await;
        sent.map_err(|_| CallerDisconnected)
    }

    fn finish(&mut self) {
        self.complete.store(true, Ordering::SeqCst);
    }
}

impl Stream for CallerBody {
    type Item = Result<Bytes, BodyTruncated>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.chunks.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some((bytes, _room))) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(None) => {
                self.ended = true;
                // The error breaks the caller's connection, so that a truncated body cannot be
                // taken for a complete one.
                let complete = self.complete.load(Ordering::SeqCst);
                Poll::Ready((!complete).then_some(Err(BodyTruncated)))
            }
        }
    }
}
