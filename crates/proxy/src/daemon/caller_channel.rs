//! The way back to an HTTP caller.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::request::caller::{CallerGone, CallerHead, CallerPresence, CallerSink};

/// Parts of a body that may wait for a slow caller.
const PARTS_IN_FLIGHT: usize = 16;

/// The request path's end.
#[derive(Debug)]
pub struct ChannelSink {
    head: Option<oneshot::Sender<CallerHead>>,
    parts: mpsc::Sender<Bytes>,
    whole: Arc<AtomicBool>,
    gone: CancellationToken,
}

/// Tells when the HTTP connection was dropped.
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

/// Body of the answer. Unless it was ended as whole, it ends in an error.
#[derive(Debug)]
pub struct CallerBody {
    parts: mpsc::Receiver<Bytes>,
    whole: Arc<AtomicBool>,
    ended: bool,
    _present: DropGuard,
}

/// The request path ended without ending the body.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut short")]
pub struct BodyCut;

/// Makes both ends.
#[must_use]
pub fn caller_channel() -> (ChannelSink, CallerChannel) {
    let (head_sender, head) = oneshot::channel();
    let (parts_sender, parts) = mpsc::channel(PARTS_IN_FLIGHT);
    let gone = CancellationToken::new();
    let whole = Arc::new(AtomicBool::new(false));
    let sink = ChannelSink {
        head: Some(head_sender),
        parts: parts_sender,
        whole: Arc::clone(&whole),
        gone: gone.clone(),
    };
    let body = CallerBody {
        parts,
        whole,
        ended: false,
        _present: gone.drop_guard(),
    };
    (sink, CallerChannel { head, body })
}

impl CallerPresence for ChannelPresence {
    fn gone(&self) -> impl Future<Output = ()> + Send {
        self.0.cancelled()
    }
}

impl CallerSink for ChannelSink {
    type Presence = ChannelPresence;

    fn presence(&self) -> ChannelPresence {
        ChannelPresence(self.gone.clone())
    }

    async fn begin(&mut self, head: CallerHead) -> Result<(), CallerGone> {
        let sender = self.head.take().ok_or(CallerGone)?;
        sender.send(head).map_err(|_| CallerGone)
    }

    async fn send(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        self.parts.send(bytes).await.map_err(|_| CallerGone)
    }

    fn finish(&mut self) {
        self.whole.store(true, Ordering::SeqCst);
    }
}

impl Stream for CallerBody {
    type Item = Result<Bytes, BodyCut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.parts.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(bytes)) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(None) => {
                self.ended = true;
                // A body that was not ended as whole breaks the connection instead of looking so.
                let whole = self.whole.load(Ordering::SeqCst);
                Poll::Ready((!whole).then_some(Err(BodyCut)))
            }
        }
    }
}
