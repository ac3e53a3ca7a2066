//! Frames that wait for the agent's answer; a new connection sends them again.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_api::local::LocalFrame;
use millford_core::time::monotonic_now;
use tokio::sync::oneshot;

use crate::agent_link::send_times::SendTimes;

/// A frame and who waits for its answer.
#[derive(Debug)]
struct Waiting<T> {
    frame: LocalFrame,
    /// When it was first sent, and when on this connection.
    times: SendTimes,
    answer: Option<oneshot::Sender<T>>,
    /// The asker stopped waiting; the answer may still come.
    abandoned: bool,
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

/// An answer that nobody waits for any more.
#[derive(Debug)]
pub struct Unclaimed<T> {
    /// What was asked.
    pub frame: LocalFrame,
    /// The answer.
    pub answer: T,
}

/// Marks a frame as abandoned when its asker stops waiting.
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

    /// Stops waiting; takes an answer that was given at this very moment.
    pub fn stop(&mut self) -> Option<T> {
        self.answer.close();
        self.answer.try_recv().ok()
    }
}

impl<T> Drop for Asked<T> {
    fn drop(&mut self) {
        if let Some(waiting) = self.outstanding.lock().get_mut(&self.id) {
            waiting.abandoned = true;
        }
    }
}

impl<T> Outstanding<T> {
    /// Keeps a frame until it is answered or its asker stops waiting.
    #[must_use]
    pub fn ask(&self, id: u64, frame: LocalFrame) -> Asked<T> {
        let (sender, receiver) = oneshot::channel();
        let waiting = Waiting {
            frame,
            times: SendTimes::at(monotonic_now()),
            answer: Some(sender),
            abandoned: false,
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
            times: SendTimes::at(monotonic_now()),
            answer: None,
            abandoned: false,
        };
        self.lock().insert(id, waiting);
    }

    /// Gives the answer to whoever waits. An answer that nobody waits for any more is dropped.
    pub fn answered(&self, id: u64, answer: T) {
        drop(self.give(id, answer));
    }

    /// Gives the answer to whoever waits; hands it back with its frame if nobody does any more.
    pub fn give(&self, id: u64, answer: T) -> Option<Unclaimed<T>> {
        let waiting = self.lock().remove(&id)?;
        match waiting.answer?.send(answer) {
            Ok(()) => None,
            Err(answer) => Some(Unclaimed {
                frame: waiting.frame,
                answer,
            }),
        }
    }

    /// The frame with this number, if it has no answer yet.
    #[must_use]
    pub fn frame(&self, id: u64) -> Option<LocalFrame> {
        self.lock().get(&id).map(|waiting| waiting.frame.clone())
    }

    /// Every frame that is still waited for, in the order of their numbers. The others are
    /// forgotten: on a new connection their answers cannot come any more.
    #[must_use]
    pub fn frames(&self) -> Vec<LocalFrame> {
        let mut frames = self.lock();
        frames.retain(|_, waiting| !waiting.abandoned);
        frames
            .values()
            .map(|waiting| waiting.frame.clone())
            .collect()
    }

    /// Like [`Self::frames`], each changed by `renew`, which gets its times. They are sent now.
    #[must_use]
    pub fn renewed(&self, renew: impl Fn(&mut LocalFrame, &mut SendTimes)) -> Vec<LocalFrame> {
        let mut frames = self.lock();
        frames.retain(|_, waiting| !waiting.abandoned);
        let renewed = frames.values_mut().map(|waiting| {
            let mut frame = waiting.frame.clone();
            renew(&mut frame, &mut waiting.times);
            frame
        });
        renewed.collect()
    }

    /// The frame with this number changed by `renew` for being sent again now, if its grant can no
    /// longer be used; nothing while it can.
    pub fn renew_late(
        &self,
        id: u64,
        is_late: impl Fn(&SendTimes) -> bool,
        renew: impl Fn(&mut LocalFrame, &mut SendTimes),
    ) -> Option<LocalFrame> {
        let mut frames = self.lock();
        let waiting = frames.get_mut(&id)?;
        if waiting.abandoned || !is_late(&waiting.times) {
            return None;
        }
        let mut frame = waiting.frame.clone();
        renew(&mut frame, &mut waiting.times);
        Some(frame)
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
