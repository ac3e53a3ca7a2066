//! Frames that wait for the agent's answer, with the daemon's rules and the simulator's time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;
use millford_api::local::LocalFrame;

struct Waiting<T> {
    frame: LocalFrame,
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
    pub fn ask(&self, number: u64, frame: LocalFrame) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        let answer = Some(sender);
        self.lock().insert(number, Waiting { frame, answer });
        receiver
    }

    /// Keeps a frame until it is answered; nobody waits for it.
    pub fn keep(&self, number: u64, frame: LocalFrame) {
        let answer = None;
        self.lock().insert(number, Waiting { frame, answer });
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
    pub fn renew(&self) -> Vec<LocalFrame> {
        let mut frames = self.lock();
        frames.retain(|_, waiting| waiting.is_wanted());
        frames
            .values()
            .map(|waiting| waiting.frame.clone())
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Waiting<T>>> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
