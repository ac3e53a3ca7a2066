//! The way back to an HTTP caller.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::request::caller::{CallerDisconnected, CallerHead, CallerPresence, CallerSink};

/// Parts of a body that may wait for a slow caller.
const BUFFERED_CHUNKS: usize = 16;

/// The request path's end.
#[derive(Debug)]
pub struct ChannelSink {
    head: Option<oneshot::Sender<CallerHead>>,
    chunks: mpsc::Sender<Bytes>,
    complete: Arc<AtomicBool>,
    disconnected: CancellationToken,
}

/// Resolves when the HTTP connection was dropped.
#[derive(Clone, Debug)]
pub struct ChannelPresence(CancellationToken);

/// The HTTP server's end: head, then body.
#[derive(Debug)]
pub struct CallerChannel {
    /// The head, once the request path decided it.
    pub head: oneshot::Receiver<CallerHead>,
    /// The body.
    pub body: CallerBody,
}

/// Body of the answer. Unless it was ended as complete, it ends in an error.
#[derive(Debug)]
pub struct CallerBody {
    chunks: mpsc::Receiver<Bytes>,
    complete: Arc<AtomicBool>,
    ended: bool,
    _present: DropGuard,
}

/// The request path ended without ending the body.
#[derive(Debug, thiserror::Error)]
#[error("the answer was truncated")]
pub struct BodyTruncated;

/// Makes both ends.
#[must_use]
pub fn caller_channel() -> (ChannelSink, CallerChannel) {
    let (head_sender, head) = oneshot::channel();
    let (chunk_sender, chunks) = mpsc::channel(BUFFERED_CHUNKS);
    let disconnected = CancellationToken::new();
    let complete = Arc::new(AtomicBool::new(false));
    let sink = ChannelSink {
        head: Some(head_sender),
        chunks: chunk_sender,
        complete: Arc::clone(&complete),
        disconnected: disconnected.clone(),
    };
    let body = CallerBody {
        chunks,
        complete,
        ended: false,
        _present: disconnected.drop_guard(),
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
        self.chunks
            .send(bytes)
            .await
            .map_err(|_| CallerDisconnected)
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
            Poll::Ready(Some(bytes)) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(None) => {
                self.ended = true;
                // A body that was not ended as complete breaks the connection instead of looking so.
                let complete = self.complete.load(Ordering::SeqCst);
                Poll::Ready((!complete).then_some(Err(BodyTruncated)))
            }
        }
    }
}
