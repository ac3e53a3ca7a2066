//! What one node holds of one tenant's tokens, as far as the leader knows.

use std::collections::VecDeque;

use millford_core::{Duration, MonotonicTime};

use super::account::OUTAGE_RETURN;

/// Silence that is assumed before the first ask of a process.
const LONGEST_SILENCE_SECONDS: u64 = 3_600;

/// Asks after a recall, the last of which the node certainly sent after it got the recall.
const ASKS_THAT_ANSWER: u32 = 2;

/// Tokens lent by one answer.
#[derive(Clone, Copy, Debug)]
struct Lent {
    at: MonotonicTime,
    /// For requests that wait: taken as spent when lent.
    asked: u64,
    /// Beyond what was asked: may be spent at any time within the lease.
    spare: u64,
}

/// Tokens of one lent answer that came back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Returned {
    pub(super) asked: u64,
    pub(super) spare: u64,
    pub(super) age: Duration,
}

/// A time in which nothing was heard of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    pub(super) length: Duration,
    pub(super) ended: MonotonicTime,
}

/// Tokens that a node may hold, the oldest first.
#[derive(Clone, Debug)]
pub(super) struct MemberSlice {
    pub(super) epoch: u64,
    lent: VecDeque<Lent>,
    recalled_at: Option<MonotonicTime>,
    /// Asks of the node since the recall.
    asks_since_recall: u32,
    /// Whether the node has answered a recall since the last spare tokens were lent.
    resolved: bool,
    /// Requests that the node's last ask left waiting.
    waiting: u64,
    queued: u64,
    /// When the node last asked.
    asked_at: MonotonicTime,
    /// The longest silence that ended of late.
    silence: Silence,
    /// Tokens asked for in the present and the previous lease time.
    window_start: MonotonicTime,
    window_asked: u64,
    previous_asked: u64,
}

impl MemberSlice {
    /// Nothing lent yet.
    pub(super) fn new(epoch: u64, now: MonotonicTime) -> Self {
        Self {
            epoch,
            lent: VecDeque::new(),
            recalled_at: None,
            asks_since_recall: 0,
            resolved: true,
            waiting: 0,
            queued: 0,
            asked_at: now,
            silence: Silence {
                length: Duration::from_secs(LONGEST_SILENCE_SECONDS),
                ended: now,
            },
            window_start: now,
            window_asked: 0,
            previous_asked: 0,
        }
    }

    /// Upper bound of the spare tokens that the node may still spend.
    pub(super) fn spare(&self) -> u64 {
        self.lent.iter().map(|lent| lent.spare).sum()
    }

    /// Whether the node may hold spare tokens that it could give back.
    pub(super) fn is_idle_possible(&self) -> bool {
        !self.resolved && self.spare() > 0
    }

    /// Whether nothing is lent and nothing was asked for in the last two lease times.
    pub(super) fn is_empty(&self) -> bool {
        self.lent.is_empty() && self.window_asked == 0 && self.previous_asked == 0
    }

    /// Notes demand; the sum of the previous lease time is what spare tokens are measured by.
    pub(super) fn note_demand(&mut self, asked: u64) {
        self.window_asked += asked;
    }

    /// Tokens asked for in the previous lease time.
    pub(super) fn demand(&self) -> u64 {
        self.previous_asked
    }

    /// Requests that wait at the node and were not refused.
    pub(super) fn waiting(&self) -> u64 {
        self.waiting
    }

    /// The node asks under a session's epoch. Gives the longest silence that ended of late: what
    /// waited through it may still be on its way.
    pub(super) fn hear(&mut self, now: MonotonicTime, epoch: u64) -> Silence {
        let length = match epoch == self.epoch {
            true => now.since(self.asked_at),
            false => Duration::from_secs(LONGEST_SILENCE_SECONDS),
        };
        let over = now.since(self.silence.ended) >= OUTAGE_RETURN;
        if over || length > self.silence.length {
            self.silence = Silence { length, ended: now };
        }
        self.epoch = epoch;
        self.asked_at = now;
        self.silence
    }

    /// Every request that waits at the node, under whichever ask.
    pub(super) fn queued(&self) -> u64 {
        self.queued
    }

    /// Notes how many requests the node's ask left waiting, and how many wait there in all.
    pub(super) fn set_waiting(&mut self, waiting: u64, queued: u64) {
        self.waiting = waiting;
        self.queued = queued.max(waiting);
    }

    /// Notes what was lent.
    pub(super) fn lend(&mut self, now: MonotonicTime, asked: u64, spare: u64) {
        if asked + spare == 0 {
            return;
        }
        if spare > 0 {
            self.resolved = false;
            self.recalled_at = None;
            self.asks_since_recall = 0;
        }
        self.lent.push_back(Lent {
            at: now,
            asked,
            spare,
        });
    }

    /// Takes back up to `tokens`, spare ones first; more than was lent is not believed.
    pub(super) fn take_back(&mut self, now: MonotonicTime, tokens: u64) -> Vec<Returned> {
        let mut left = tokens;
        let mut returned = Vec::new();
        for lent in self.lent.iter_mut().rev() {
            let spare = lent.spare.min(left);
            lent.spare -= spare;
            left -= spare;
            if spare > 0 {
                returned.push(returned_of(lent, now, 0, spare));
            }
        }
        for lent in self.lent.iter_mut().rev() {
            let asked = lent.asked.min(left);
            lent.asked -= asked;
            left -= asked;
            if asked > 0 {
                returned.push(returned_of(lent, now, asked, 0));
            }
        }
        self.lent.retain(|lent| lent.asked + lent.spare > 0);
        returned
    }

    /// Notes that the node asked, which may be the answer to a recall.
    ///
    /// One ask may have been under way before the recall reached the node, for instance the renewal
    /// of its stream slots; the second one was certainly sent after it.
    pub(super) fn note_ask(&mut self) {
        if self.recalled_at.is_none() {
            return;
        }
        self.asks_since_recall += 1;
        if self.asks_since_recall >= ASKS_THAT_ANSWER {
            self.resolved = true;
        }
    }

    /// Whether a recall is to be sent now; notes it as sent.
    pub(super) fn recall(&mut self, now: MonotonicTime, again_after: Duration) -> bool {
        let due = self
            .recalled_at
            .is_none_or(|sent| now.since(sent) >= again_after);
        if due {
            self.recalled_at = Some(now);
        }
        due
    }

    /// Forgets what can no longer be spent; gives the spare tokens whose fate is unknown.
    pub(super) fn expire(&mut self, now: MonotonicTime, lease: Duration) -> u64 {
        self.turn_window(now, lease);
        let mut unknown = 0;
        while let Some(lent) = self.lent.front() {
            if now.since(lent.at) < lease {
                break;
            }
            if !self.resolved {
                unknown += lent.spare;
            }
            self.lent.pop_front();
        }
        unknown
    }

    fn turn_window(&mut self, now: MonotonicTime, lease: Duration) {
        let age = now.since(self.window_start);
        if age < lease {
            return;
        }
        self.previous_asked = if age < lease * 2 {
            self.window_asked
        } else {
            0
        };
        self.window_asked = 0;
        self.window_start = now;
        if age >= lease * 2 {
            self.waiting = 0;
        }
    }
}

fn returned_of(lent: &Lent, now: MonotonicTime, asked: u64, spare: u64) -> Returned {
    Returned {
        asked,
        spare,
        age: now.since(lent.at),
    }
}
