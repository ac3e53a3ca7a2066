//! Frames that wait for the agent's answer, with the daemon's rules and the simulator's time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;
use millford_api::local::LocalFrame;
use millford_core::{Duration, MonotonicTime};
use millford_proxy::control::send_times::SendTimes;

struct InFlightRequest<T> {
    frame: LocalFrame,
    times: SendTimes,
    answer: Option<oneshot::Sender<T>>,
}

impl<T> InFlightRequest<T> {
    // A claim's outcome has no requester and waits until it is acknowledged.
    fn is_awaited(&self) -> bool {
        self.answer.as_ref().is_none_or(|it| !it.is_canceled())
    }
}

/// Frames of one kind by the number that their answers carry.
pub struct InFlightRequests<T> {
    frames: Mutex<BTreeMap<u64, InFlightRequest<T>>>,
}

impl<T> Default for InFlightRequests<T> {
    fn default() -> Self {
        Self {
            frames: Mutex::default(),
        }
    }
}

impl<T> InFlightRequests<T> {
    /// Keeps a frame until it is answered.
    pub fn ask(&self, now: MonotonicTime, number: u64, frame: LocalFrame) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        let answer = Some(sender);
        let times = SendTimes::at(now);
        let request = InFlightRequest {
            frame,
            times,
            answer,
        };
        self.lock().insert(number, request);
        receiver
    }

    /// Keeps a frame until it is answered; nobody waits for it.
    pub fn keep(&self, now: MonotonicTime, number: u64, frame: LocalFrame) {
        let request = InFlightRequest {
            frame,
            times: SendTimes::at(now),
            answer: None,
        };
        self.lock().insert(number, request);
    }

    /// Hands the answer to its requester; returns the frame if nobody waits for it any more.
    pub fn answered(&self, number: u64, answer: T) -> Option<LocalFrame> {
        let request = self.lock().remove(&number)?;
        match request.answer?.send(answer) {
            Ok(()) => None,
            Err(_) => Some(request.frame),
        }
    }

    /// Every frame that is still waited for; the others are forgotten.
    pub fn renew(&self, now: MonotonicTime) -> Vec<LocalFrame> {
        let mut frames = self.lock();
        frames.retain(|_, request| request.is_awaited());
        let renewed = frames.values_mut().map(|request| {
            let mut frame = request.frame.clone();
            request.times.renew(now, &mut frame);
            frame
        });
        renewed.collect()
    }

    /// The frame to send again if its grant can no longer be used and it is still waited for.
    pub fn renew_late(
        &self,
        now: MonotonicTime,
        number: u64,
        use_within: Option<Duration>,
    ) -> Option<LocalFrame> {
        let mut frames = self.lock();
        let request = frames.get_mut(&number)?;
        if !request.is_awaited() || !request.times.is_late(now, use_within) {
            return None;
        }
        let mut frame = request.frame.clone();
        request.times.renew(now, &mut frame);
        Some(frame)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, InFlightRequest<T>>> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
