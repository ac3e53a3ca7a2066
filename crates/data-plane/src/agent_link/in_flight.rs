//! Requests to the agent that await their replies. They are sent again on a new connection.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_api::local::LocalFrame;
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use tokio::sync::oneshot;

use crate::agent_link::send_times::SendTimes;

/// A request and the channel of its requester.
#[derive(Debug)]
struct InFlightRequest<T> {
    frame: LocalFrame,
    times: SendTimes,
    /// Channel to the requester; `None` if no requester waits for the reply.
    reply: Option<oneshot::Sender<T>>,
    /// Whether the requester stopped waiting. The reply may still arrive.
    abandoned: bool,
}

impl<T> InFlightRequest<T> {
    fn new(frame: LocalFrame, reply: Option<oneshot::Sender<T>>) -> Self {
        Self {
            frame,
            times: SendTimes::at(monotonic_now()),
            reply,
            abandoned: false,
        }
    }

    /// Records that the request is sent again now and returns the frame to send.
    fn resend(&mut self, now: MonotonicTime) -> LocalFrame {
        let mut frame = self.frame.clone();
        self.times.renew(now, &mut frame);
        frame
    }
}

/// Requests of one kind by request id, which the replies repeat.
#[derive(Debug)]
pub(super) struct InFlightRequests<T> {
    requests: Arc<Mutex<BTreeMap<u64, InFlightRequest<T>>>>,
}

// Derived implementations would require `T: Clone` and `T: Default`.
impl<T> Clone for InFlightRequests<T> {
    fn clone(&self) -> Self {
        Self {
            requests: Arc::clone(&self.requests),
        }
    }
}

impl<T> Default for InFlightRequests<T> {
    fn default() -> Self {
        Self {
            requests: Arc::default(),
        }
    }
}

/// Result of passing a reply to its requester.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The reply was passed on, or no requester was registered for it.
    Done,
    /// The requester has stopped waiting, so the reply was dropped.
    Abandoned,
}

/// The requester's side of a request. Dropping it marks the request as abandoned.
pub(super) struct ReplyWaiter<T> {
    in_flight: InFlightRequests<T>,
    id: u64,
    reply: oneshot::Receiver<T>,
}

impl<T> ReplyWaiter<T> {
    /// Waits for the reply. Returns `None` if there is none within the timeout.
    ///
    /// A reply that arrives while the timeout expires is still returned.
    pub(super) async fn reply(mut self, timeout: Duration) -> Option<T> {
        let reply = tokio::time::timeout(timeout, &mut self.reply).await;
        reply.map_or_else(|_| self.stop(), Result::ok)
    }

    fn stop(&mut self) -> Option<T> {
        self.reply.close();
        self.reply.try_recv().ok()
    }
}

impl<T> Drop for ReplyWaiter<T> {
    fn drop(&mut self) {
        if let Some(request) = self.in_flight.lock().get_mut(&self.id) {
            request.abandoned = true;
        }
    }
}

impl<T> InFlightRequests<T> {
    /// Keeps a request until its reply arrives, or until the next new connection after its requester
    /// stopped waiting.
    pub(super) fn register(&self, id: u64, frame: LocalFrame) -> ReplyWaiter<T> {
        let (sender, receiver) = oneshot::channel();
        let request = InFlightRequest::new(frame, Some(sender));
        self.lock().insert(id, request);
        ReplyWaiter {
            in_flight: self.clone(),
            id,
            reply: receiver,
        }
    }

    /// Keeps a request until its reply arrives. No requester waits for the reply.
    pub(super) fn register_unawaited(&self, id: u64, frame: LocalFrame) {
        let request = InFlightRequest::new(frame, None);
        self.lock().insert(id, request);
    }

    /// Removes the request and passes the reply to its requester.
    pub(super) fn complete(&self, id: u64, reply: T) -> Delivery {
        let request = self.lock().remove(&id);
        let Some(requester) = request.and_then(|request| request.reply) else {
            return Delivery::Done;
        };
        match requester.send(reply) {
            Ok(()) => Delivery::Done,
            Err(_) => Delivery::Abandoned,
        }
    }

    /// Returns the frame of the request with this id, if it is still in flight.
    pub(super) fn frame(&self, id: u64) -> Option<LocalFrame> {
        self.lock().get(&id).map(|request| request.frame.clone())
    }

    /// Returns the frames to send again on a new connection, in the order of request ids. Abandoned
    /// requests are removed, since their replies cannot arrive on a new connection.
    pub(super) fn resend_all(&self, now: MonotonicTime) -> Vec<LocalFrame> {
        let mut requests = self.lock();
        requests.retain(|_, request| !request.abandoned);
        let frames = requests.values_mut().map(|request| request.resend(now));
        frames.collect()
    }

    /// Returns the frame to send again if the grant was received too late to be used. Returns `None` if
    /// the grant is valid or the request is abandoned.
    pub(super) fn resend_if_late(
        &self,
        id: u64,
        now: MonotonicTime,
        use_within: Option<Duration>,
    ) -> Option<LocalFrame> {
        let mut requests = self.lock();
        let request = requests.get_mut(&id)?;
        if request.abandoned || !request.times.is_late(now, use_within) {
            return None;
        }
        Some(request.resend(now))
    }

    /// Returns whether no request is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, InFlightRequest<T>>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
