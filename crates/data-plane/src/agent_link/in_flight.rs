//! Requests to the agent that have no answer yet; a new connection sends them again.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_api::local::LocalFrame;
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use tokio::sync::oneshot;

use crate::agent_link::send_times::SendTimes;

/// A request and who waits for its answer.
#[derive(Debug)]
struct InFlightRequest<T> {
    frame: LocalFrame,
    times: SendTimes,
    /// Nobody waits for the answers of some kinds.
    answer: Option<oneshot::Sender<T>>,
    /// The requester stopped waiting; the answer may still come.
    abandoned: bool,
}

impl<T> InFlightRequest<T> {
    fn new(frame: LocalFrame, answer: Option<oneshot::Sender<T>>) -> Self {
        Self {
            frame,
            times: SendTimes::at(monotonic_now()),
            answer,
            abandoned: false,
        }
    }

    /// The frame as it is to be sent again now.
    fn resend(&mut self, now: MonotonicTime) -> LocalFrame {
        let mut frame = self.frame.clone();
        self.times.renew(now, &mut frame);
        frame
    }
}

/// Requests of one kind by the number that their answers carry.
#[derive(Debug)]
pub(super) struct InFlightRequests<T> {
    requests: Arc<Mutex<BTreeMap<u64, InFlightRequest<T>>>>,
}

// Derived implementations would ask for `T: Clone` and `T: Default`.
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

/// Where an answer went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// To the requester, or nowhere because none ever waited.
    Done,
    /// The requester has stopped waiting: the answer is dropped.
    Unclaimed,
}

/// The requester's end: marks its request as abandoned when it stops waiting.
pub(super) struct AnswerWaiter<T> {
    in_flight: InFlightRequests<T>,
    id: u64,
    answer: oneshot::Receiver<T>,
}

impl<T> AnswerWaiter<T> {
    /// The answer; nothing if none came within the timeout.
    ///
    /// An answer that comes at the very moment of the timeout is taken.
    pub(super) async fn answer(mut self, timeout: Duration) -> Option<T> {
        let answer = tokio::time::timeout(timeout, &mut self.answer).await;
        answer.map_or_else(|_| self.stop(), Result::ok)
    }

    fn stop(&mut self) -> Option<T> {
        self.answer.close();
        self.answer.try_recv().ok()
    }
}

impl<T> Drop for AnswerWaiter<T> {
    fn drop(&mut self) {
        if let Some(request) = self.in_flight.lock().get_mut(&self.id) {
            request.abandoned = true;
        }
    }
}

impl<T> InFlightRequests<T> {
    /// Keeps a request until it is answered, or forgotten after its requester stopped waiting.
    pub(super) fn register(&self, id: u64, frame: LocalFrame) -> AnswerWaiter<T> {
        let (sender, receiver) = oneshot::channel();
        let request = InFlightRequest::new(frame, Some(sender));
        self.lock().insert(id, request);
        AnswerWaiter {
            in_flight: self.clone(),
            id,
            answer: receiver,
        }
    }

    /// Keeps a request until it is answered; nobody waits for the answer.
    pub(super) fn register_unawaited(&self, id: u64, frame: LocalFrame) {
        let request = InFlightRequest::new(frame, None);
        self.lock().insert(id, request);
    }

    /// Gives the answer to whoever waits. The request is no longer in flight.
    pub(super) fn complete(&self, id: u64, answer: T) -> Delivery {
        let request = self.lock().remove(&id);
        let Some(requester) = request.and_then(|request| request.answer) else {
            return Delivery::Done;
        };
        match requester.send(answer) {
            Ok(()) => Delivery::Done,
            Err(_) => Delivery::Unclaimed,
        }
    }

    /// The request with this number, if it has no answer yet.
    pub(super) fn frame(&self, id: u64) -> Option<LocalFrame> {
        self.lock().get(&id).map(|request| request.frame.clone())
    }

    /// Every request that is still waited for, in the order of their numbers, as it is to be sent
    /// again now. The others are forgotten: on a new connection their answers cannot come any more.
    pub(super) fn resend_all(&self, now: MonotonicTime) -> Vec<LocalFrame> {
        let mut requests = self.lock();
        requests.retain(|_, request| !request.abandoned);
        let frames = requests.values_mut().map(|request| request.resend(now));
        frames.collect()
    }

    /// The request as it is to be sent again now, if its grant can no longer be used; nothing while
    /// it can, or when nobody waits any more.
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

    /// Whether every request is answered.
    pub(super) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, InFlightRequest<T>>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
