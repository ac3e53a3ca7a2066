//! Frames that wait for the agent's answer; a new connection sends them again.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_api::local::LocalFrame;
use tokio::sync::oneshot;

/// A frame and who waits for its answer.
#[derive(Debug)]
struct Waiting<T> {
    frame: LocalFrame,
    answer: Option<oneshot::Sender<T>>,
}

/// Frames of one kind by the number that their answers carry.
#[derive(Debug)]
pub struct Outstanding<T> {
    frames: Arc<Mutex<BTreeMap<u64, Waiting<T>>>>,
}

impl<T> Clone for Outstanding<T> {
    fn clone(&self) -> Self {
        Self {
            frames: Arc::clone(&self.frames),
        }
    }
}

impl<T> Default for Outstanding<T> {
    fn default() -> Self {
        Self {
            frames: Arc::default(),
        }
    }
}

/// Forgets a frame when its asker stops waiting.
pub struct Asked<T> {
    outstanding: Outstanding<T>,
    id: u64,
    answer: oneshot::Receiver<T>,
}

impl<T> Asked<T> {
    /// The answer; nothing if it was never given.
    pub async fn answer(&mut self) -> Option<T> {
        (&mut self.answer).await.ok()
    }
}

impl<T> Drop for Asked<T> {
    fn drop(&mut self) {
        self.outstanding.lock().remove(&self.id);
    }
}

impl<T> Outstanding<T> {
    /// Keeps a frame until it is answered or its asker stops waiting.
    #[must_use]
    pub fn ask(&self, id: u64, frame: LocalFrame) -> Asked<T> {
        let (sender, receiver) = oneshot::channel();
        let waiting = Waiting {
            frame,
            answer: Some(sender),
        };
        self.lock().insert(id, waiting);
        Asked {
            outstanding: self.clone(),
            id,
            answer: receiver,
        }
    }

    /// Keeps a frame until it is answered; nobody waits for it.
    pub fn keep(&self, id: u64, frame: LocalFrame) {
        let waiting = Waiting {
            frame,
            answer: None,
        };
        self.lock().insert(id, waiting);
    }

    /// Gives the answer to whoever waits. An answer that nobody waits for any more is dropped.
    pub fn answered(&self, id: u64, answer: T) {
        let waiting = self.lock().remove(&id);
        if let Some(sender) = waiting.and_then(|waiting| waiting.answer) {
            let _ = sender.send(answer);
        }
    }

    /// Every frame without an answer, in the order of their numbers.
    #[must_use]
    pub fn frames(&self) -> Vec<LocalFrame> {
        let frames = self.lock();
        frames
            .values()
            .map(|waiting| waiting.frame.clone())
            .collect()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Waiting<T>>> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
