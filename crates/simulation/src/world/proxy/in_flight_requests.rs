//! Requests to the agent without an answer. They follow the daemon's rules on simulated time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;
use millford_api::local::LocalFrame;
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_link::send_times::SendTimes;

struct InFlightRequest<T> {
    frame: LocalFrame,
    times: SendTimes,
    /// Receives the answer; absent for the outcome of a claim, which only needs an acknowledgement.
    requester: Option<oneshot::Sender<T>>,
}

impl<T> InFlightRequest<T> {
    /// Returns whether the request still needs an answer: always without a requester, else while the
    /// requester waits.
    fn is_awaited(&self) -> bool {
        self.requester
            .as_ref()
            .is_none_or(|requester| !requester.is_canceled())
    }

    fn renew(&mut self, now: MonotonicTime) -> LocalFrame {
        let mut frame = self.frame.clone();
        self.times.renew(now, &mut frame);
        frame
    }
}

/// In-flight requests of one kind, by request id.
pub struct InFlightRequests<T> {
    requests: Mutex<BTreeMap<u64, InFlightRequest<T>>>,
}

impl<T> Default for InFlightRequests<T> {
    fn default() -> Self {
        Self {
            requests: Mutex::default(),
        }
    }
}

impl<T> InFlightRequests<T> {
    /// Adds a request. Returns the receiver of its answer.
    pub fn insert(
        &self,
        now: MonotonicTime,
        number: u64,
        frame: LocalFrame,
    ) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.insert_for(now, number, frame, Some(sender));
        receiver
    }

    /// Adds a request that only needs an acknowledgement.
    pub fn insert_without_requester(&self, now: MonotonicTime, number: u64, frame: LocalFrame) {
        self.insert_for(now, number, frame, None);
    }

    fn insert_for(
        &self,
        now: MonotonicTime,
        number: u64,
        frame: LocalFrame,
        requester: Option<oneshot::Sender<T>>,
    ) {
        let request = InFlightRequest {
            frame,
            times: SendTimes::at(now),
            requester,
        };
        self.lock().insert(number, request);
    }

    /// Passes the answer to its requester. Returns the frame if the requester no longer waits.
    pub fn answer(&self, number: u64, answer: T) -> Option<LocalFrame> {
        let request = self.lock().remove(&number)?;
        match request.requester?.send(answer) {
            Ok(()) => None,
            Err(_) => Some(request.frame),
        }
    }

    /// Returns the frames to send again; drops the requests whose requester no longer waits.
    pub fn renew(&self, now: MonotonicTime) -> Vec<LocalFrame> {
        let mut requests = self.lock();
        requests.retain(|_, request| request.is_awaited());
        let requests = requests.values_mut();
        requests.map(|request| request.renew(now)).collect()
    }

    /// Returns the frame to send again if its requester waits and the grant arrived too late to be used.
    pub fn renew_late(
        &self,
        now: MonotonicTime,
        number: u64,
        use_within: Option<Duration>,
    ) -> Option<LocalFrame> {
        let mut requests = self.lock();
        let request = requests.get_mut(&number)?;
        if !request.is_awaited() || !request.times.is_late(now, use_within) {
            return None;
        }
        Some(request.renew(now))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, InFlightRequest<T>>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
