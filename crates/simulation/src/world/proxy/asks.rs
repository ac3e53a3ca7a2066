//! Frames that wait for the agent's answer, with the daemon's rules and the simulator's time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;
use millford_api::local::LocalFrame;
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_link::send_times::SendTimes;

struct Waiting<T> {
    frame: LocalFrame,
    times: SendTimes,
    answer: Option<oneshot::Sender<T>>,
}

impl<T> Waiting<T> {
    // A settlement has no asker and waits until it is acknowledged.
    fn is_wanted(&self) -> bool {
        self.answer.as_ref().is_none_or(|it| !it.is_canceled())
    }
}

/// Frames of one kind by the number that their answers carry.
pub struct Asks<T> {
    frames: Mutex<BTreeMap<u64, Waiting<T>>>,
}

impl<T> Default for Asks<T> {
    fn default() -> Self {
        Self {
            frames: Mutex::default(),
        }
    }
}

impl<T> Asks<T> {
    /// Keeps a frame until it is answered.
    pub fn ask(&self, now: MonotonicTime, number: u64, frame: LocalFrame) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        let answer = Some(sender);
        let times = SendTimes::at(now);
        let waiting = Waiting {
            frame,
            times,
            answer,
        };
        self.lock().insert(number, waiting);
        receiver
    }

    /// Keeps a frame until it is answered; nobody waits for it.
    pub fn keep(&self, now: MonotonicTime, number: u64, frame: LocalFrame) {
        let waiting = Waiting {
            frame,
            times: SendTimes::at(now),
            answer: None,
        };
        self.lock().insert(number, waiting);
    }

    /// Gives the answer to whoever waits; gives the frame back if nobody does any more.
    pub fn answered(&self, number: u64, answer: T) -> Option<LocalFrame> {
        let waiting = self.lock().remove(&number)?;
        match waiting.answer?.send(answer) {
            Ok(()) => None,
            Err(_) => Some(waiting.frame),
        }
    }

    /// Every frame that is still waited for; the others are forgotten.
    pub fn renew(&self, now: MonotonicTime) -> Vec<LocalFrame> {
        let mut frames = self.lock();
        frames.retain(|_, waiting| waiting.is_wanted());
        let renewed = frames.values_mut().map(|waiting| {
            let mut frame = waiting.frame.clone();
            waiting.times.renew(now, &mut frame);
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
        let waiting = frames.get_mut(&number)?;
        if !waiting.is_wanted() || !waiting.times.is_late(now, use_within) {
            return None;
        }
        let mut frame = waiting.frame.clone();
        waiting.times.renew(now, &mut frame);
        Some(frame)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Waiting<T>>> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
