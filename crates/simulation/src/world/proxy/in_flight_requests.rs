//! Frames that wait for the agent's answer, with the daemon's rules and the simulator's time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;
use millford_api::local::LocalFrame;
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_link::send_times::SendTimes;

struct InFlightRequest<T> {
    frame: LocalFrame,
    times: SendTimes,
    /// Where the answer goes; a claim's outcome has no requester.
    requester: Option<oneshot::Sender<T>>,
}

impl<T> InFlightRequest<T> {
    /// Whether the answer is awaited. What has no requester waits until it is acknowledged.
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

/// Frames of one kind by the number that their answers carry.
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
    /// Keeps a frame until it is answered. Returns the future answer.
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

    /// Keeps a frame until it is answered; nobody waits for the answer.
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

    /// Hands the answer to its requester; returns the frame if nobody waits for it any more.
    pub fn answer(&self, number: u64, answer: T) -> Option<LocalFrame> {
        let request = self.lock().remove(&number)?;
        match request.requester?.send(answer) {
            Ok(()) => None,
            Err(_) => Some(request.frame),
        }
    }

    /// Every frame whose answer is awaited, to be sent again; the others are dropped.
    pub fn renew(&self, now: MonotonicTime) -> Vec<LocalFrame> {
        let mut requests = self.lock();
        requests.retain(|_, request| request.is_awaited());
        let requests = requests.values_mut();
        requests.map(|request| request.renew(now)).collect()
    }

    /// The frame to send again if its grant can no longer be used and its answer is awaited.
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
