//! What one node may hold of one tenant's tokens, as far as the leader knows.

use std::collections::VecDeque;

use millford_core::{Duration, MonotonicTime};

use super::demand_window::DemandWindow;
use super::options::OUTAGE_RETURN_WINDOW;
use super::recall::is_recall_due;

/// Inactivity that is assumed before the first request of a process.
const ASSUMED_FIRST_INACTIVITY: Duration = Duration::from_hours(1);

/// Requests after a recall, the last of which the node certainly sent after it received the recall.
const REQUESTS_THAT_CONFIRM_RECALL: u32 = 2;

/// Tokens granted by one reply.
#[derive(Clone, Copy, Debug)]
struct GrantedTokens {
    granted_at: MonotonicTime,
    /// For requests that wait: taken as spent when granted.
    requested: u64,
    /// Beyond what was requested: may be spent at any time within the lease.
    surplus: u64,
}

impl GrantedTokens {
    fn returned(&self, now: MonotonicTime, requested: u64, surplus: u64) -> ReturnedTokens {
        ReturnedTokens {
            requested,
            surplus,
            age: now.since(self.granted_at),
        }
    }
}

/// Tokens of one grant that came back.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReturnedTokens {
    pub(super) requested: u64,
    pub(super) surplus: u64,
    pub(super) age: Duration,
}

/// A time in which nothing was received from a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inactivity {
    pub(super) length: Duration,
    pub(super) ended_at: MonotonicTime,
}

/// Whether the node has responded to a recall.
#[derive(Clone, Copy, Debug)]
struct RecallStatus {
    sent_at: Option<MonotonicTime>,
    requests_since: u32,
    /// Whether the node has responded since the last surplus tokens were granted.
    confirmed: bool,
}

/// Tokens that a node may hold, the oldest first, and what is known of its requests.
#[derive(Clone, Debug)]
pub(super) struct MemberLease {
    epoch: u64,
    grants: VecDeque<GrantedTokens>,
    recall: RecallStatus,
    /// Requests that the node's last message left waiting.
    waiting: u64,
    /// Every request that waits at the node, under whichever message.
    queued: u64,
    last_request_at: MonotonicTime,
    /// The longest inactivity that ended recently.
    longest_inactivity: Inactivity,
    demand: DemandWindow,
}

impl MemberLease {
    /// A lease without tokens.
    pub(super) fn new(epoch: u64, now: MonotonicTime) -> Self {
        Self {
            epoch,
            grants: VecDeque::new(),
            recall: RecallStatus {
                sent_at: None,
                requests_since: 0,
                confirmed: true,
            },
            waiting: 0,
            queued: 0,
            last_request_at: now,
            longest_inactivity: Inactivity {
                length: ASSUMED_FIRST_INACTIVITY,
                ended_at: now,
            },
            demand: DemandWindow::starting_at(now),
        }
    }

    /// Epoch of the session that requested last.
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Upper bound of the surplus tokens that the node may still spend.
    pub(super) fn surplus(&self) -> u64 {
        self.grants.iter().map(|grant| grant.surplus).sum()
    }

    /// Whether the node may have surplus tokens that it could return.
    pub(super) fn may_return_surplus(&self) -> bool {
        !self.recall.confirmed && self.surplus() > 0
    }

    /// Whether nothing is granted and nothing was requested in the last two lease times.
    pub(super) fn is_empty(&self) -> bool {
        self.grants.is_empty() && self.demand.is_empty()
    }

    /// Records requested tokens; the sum of the previous lease time determines surplus tokens.
    pub(super) fn record_demand(&mut self, requested: u64) {
        self.demand.record(requested);
    }

    /// Tokens requested in the previous lease time.
    pub(super) fn previous_demand(&self) -> u64 {
        self.demand.previous()
    }

    /// Requests that wait at the node and were not refused.
    pub(super) fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Every request that waits at the node, under whichever message.
    pub(super) fn queued(&self) -> u64 {
        self.queued
    }

    /// Sets how many requests the node's message left waiting, and how many wait there in all.
    pub(super) fn set_waiting(&mut self, waiting: u64, queued: u64) {
        self.waiting = waiting;
        self.queued = queued.max(waiting);
    }

    /// The node sent a message under a session's epoch. Returns the longest inactivity that ended
    /// recently: what waited through it may still be on its way.
    pub(super) fn record_contact(&mut self, now: MonotonicTime, epoch: u64) -> Inactivity {
        let length = if epoch == self.epoch {
            now.since(self.last_request_at)
        } else {
            ASSUMED_FIRST_INACTIVITY
        };
        let outdated = now.since(self.longest_inactivity.ended_at) >= OUTAGE_RETURN_WINDOW;
        if outdated || length > self.longest_inactivity.length {
            self.longest_inactivity = Inactivity {
                length,
                ended_at: now,
            };
        }
        self.epoch = epoch;
        self.last_request_at = now;
        self.longest_inactivity
    }

    /// Records what was granted.
    pub(super) fn grant(&mut self, now: MonotonicTime, requested: u64, surplus: u64) {
        if requested + surplus == 0 {
            return;
        }
        if surplus > 0 {
            self.recall = RecallStatus {
                sent_at: None,
                requests_since: 0,
                confirmed: false,
            };
        }
        self.grants.push_back(GrantedTokens {
            granted_at: now,
            requested,
            surplus,
        });
    }

    /// Takes back up to `tokens`, surplus ones first; more than was granted is not believed.
    pub(super) fn take_returned(&mut self, now: MonotonicTime, tokens: u64) -> Vec<ReturnedTokens> {
        let mut remaining = tokens;
        let mut returned = Vec::new();
        for grant in self.grants.iter_mut().rev() {
            let surplus = grant.surplus.min(remaining);
            grant.surplus -= surplus;
            remaining -= surplus;
            if surplus > 0 {
                returned.push(grant.returned(now, 0, surplus));
            }
        }
        for grant in self.grants.iter_mut().rev() {
            let requested = grant.requested.min(remaining);
            grant.requested -= requested;
            remaining -= requested;
            if requested > 0 {
                returned.push(grant.returned(now, requested, 0));
            }
        }
        self.grants
            .retain(|grant| grant.requested + grant.surplus > 0);
        returned
    }

    /// Records a message that may be the response to a recall.
    ///
    /// One message may have been in flight before the recall reached the node, for instance the
    /// renewal of its stream slots; the second one was certainly sent after it.
    pub(super) fn record_recall_response(&mut self) {
        if self.recall.sent_at.is_none() {
            return;
        }
        self.recall.requests_since += 1;
        if self.recall.requests_since >= REQUESTS_THAT_CONFIRM_RECALL {
            self.recall.confirmed = true;
        }
    }

    /// Whether a recall is to be sent now; if so, records it as sent.
    pub(super) fn start_recall(&mut self, now: MonotonicTime, retry_delay: Duration) -> bool {
        let due = is_recall_due(self.recall.sent_at, now, retry_delay);
        if due {
            self.recall.sent_at = Some(now);
        }
        due
    }

    /// Drops what can no longer be spent; returns the surplus tokens whose fate is unknown.
    pub(super) fn expire(&mut self, now: MonotonicTime, lease: Duration) -> u64 {
        if self.demand.advance(now, lease).is_idle() {
            self.waiting = 0;
        }
        let mut unknown = 0;
        while let Some(grant) = self.grants.front() {
            if now.since(grant.granted_at) < lease {
                break;
            }
            if !self.recall.confirmed {
                unknown += grant.surplus;
            }
            self.grants.pop_front();
        }
        unknown
    }
}
