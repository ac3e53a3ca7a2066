//! Questions to owners that wait for their answers.

use std::collections::{BTreeMap, HashMap};

use millford_api::exchange::BlockBackends;
use millford_core::{Duration, MonotonicTime};
use tokio::sync::oneshot;

use crate::owners::round_trip::RoundTrip;
use crate::quota::Grant;

/// Questions in a row without an answer after which an owner's stand-in is asked. One alone may be a
/// lost datagram.
const UNANSWERED_TO_SUSPECT: u32 = 2;

/// How long a silent owner is passed over: a restarted process is back within this time, and every try
/// costs one choice its fresh counts.
const SUSPECT_FOR: Duration = Duration::from_secs(1);

/// What an owner answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Counts of backends, which are on the board already.
    Counts,
    /// The backends that keep some parts.
    Holders(Vec<BlockBackends>),
    /// The decision on a request of a tenant; nothing where the owner knows of no quota.
    Quota(Option<Grant>),
}

#[derive(Debug)]
struct Question {
    owner: String,
    asked: MonotonicTime,
    done: oneshot::Sender<Answer>,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnerSilence {
    unanswered: u32,
    suspect_until: Option<MonotonicTime>,
}

/// Questions by number, and which owners leave them unanswered.
#[derive(Debug, Default)]
pub struct Questions {
    last_id: u64,
    waiting: HashMap<u64, Question>,
    silences: BTreeMap<String, OwnerSilence>,
    round_trip: RoundTrip,
}

impl Questions {
    /// Begins a question. The receiver resolves once it is answered.
    pub fn begin(&mut self, now: MonotonicTime, owner: &str) -> (u64, oneshot::Receiver<Answer>) {
        let (done, answered) = oneshot::channel();
        self.last_id += 1;
        let question = Question {
            owner: owner.to_owned(),
            asked: now,
            done,
        };
        self.waiting.insert(self.last_id, question);
        (self.last_id, answered)
    }

    /// An answer came. False: nobody asked, or nobody waits any longer and the owner is only heard.
    pub fn answered(&mut self, now: MonotonicTime, id: u64, answer: Answer) -> bool {
        let Some(question) = self.waiting.remove(&id) else {
            return false;
        };
        self.round_trip.add(now.since(question.asked));
        self.silences.remove(&question.owner);
        question.done.send(answer).is_ok()
    }

    /// The wait for an answer is over.
    pub fn give_up(&mut self, now: MonotonicTime, id: u64) {
        let Some(question) = self.waiting.remove(&id) else {
            return;
        };
        let silence = self.silences.entry(question.owner).or_default();
        silence.unanswered += 1;
        if silence.unanswered >= UNANSWERED_TO_SUSPECT {
            silence.suspect_until = Some(now + SUSPECT_FOR);
        }
    }

    /// Forgets questions whose request went away while it waited.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.waiting
            .retain(|_, question| now.since(question.asked) < SUSPECT_FOR);
    }

    /// Whether an owner left questions unanswered lately.
    #[must_use]
    pub fn is_suspect(&self, now: MonotonicTime, owner: &str) -> bool {
        let silence = self.silences.get(owner);
        let until = silence.and_then(|silence| silence.suspect_until);
        until.is_some_and(|until| now < until)
    }

    /// How long to wait for an answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.round_trip.timeout()
    }
}
