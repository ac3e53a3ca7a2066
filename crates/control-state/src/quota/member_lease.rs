//! Tokens of one tenant that one node may hold, as recorded by the shard's leader.

use std::collections::VecDeque;

use millford_core::{Duration, MonotonicTime};

use super::demand_window::DemandWindow;
use super::options::OUTAGE_RETURN_WINDOW;
use super::recall::is_recall_due;

/// Inactivity that is assumed before the first request of an agent process: the leader cannot
/// determine how long requests waited at the node before that.
const ASSUMED_FIRST_INACTIVITY: Duration = Duration::from_hours(1);

/// Number of requests after a recall of which the last was certainly sent after the node had
/// received the recall.
const REQUESTS_THAT_CONFIRM_RECALL: u32 = 2;

/// Tokens granted by one reply.
#[derive(Clone, Copy, Debug)]
struct GrantedTokens {
    granted_at: MonotonicTime,
    /// Tokens for waiting requests; they count as spent when granted.
    requested: u64,
    /// Tokens beyond what was requested; they may be spent at any time within the lease.
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

/// Tokens of one grant that the node returned unspent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReturnedTokens {
    pub(super) requested: u64,
    pub(super) surplus: u64,
    pub(super) age: Duration,
}

/// A period in which no request arrived from a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inactivity {
    pub(super) length: Duration,
    pub(super) ended_at: MonotonicTime,
}

/// Progress of the recall of a node's surplus tokens.
#[derive(Clone, Copy, Debug)]
struct RecallStatus {
    sent_at: Option<MonotonicTime>,
    requests_since: u32,
    /// Whether the node has responded to a recall since surplus tokens were last granted. Also set
    /// while none have been granted yet.
    confirmed: bool,
}

/// Tokens that a node may hold, the oldest grant first, and the state of its requests.
#[derive(Clone, Debug)]
pub(super) struct MemberLease {
    epoch: u64,
    grants: VecDeque<GrantedTokens>,
    recall: RecallStatus,
    /// Requests of the node's last message that were neither granted nor refused.
    waiting: u64,
    /// All requests that wait at the node, including those of earlier messages.
    queued: u64,
    last_request_at: MonotonicTime,
    /// The longest inactivity that ended recently.
    longest_inactivity: Inactivity,
    demand: DemandWindow,
}

impl MemberLease {
    /// Creates a lease without tokens.
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

    /// Returns the epoch of the session that sent the last request.
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns an upper bound of the surplus tokens that the node may still spend.
    pub(super) fn surplus(&self) -> u64 {
        self.grants.iter().map(|grant| grant.surplus).sum()
    }

    /// Whether a recall may still make the node return surplus tokens.
    pub(super) fn may_return_surplus(&self) -> bool {
        !self.recall.confirmed && self.surplus() > 0
    }

    /// Whether no grant is outstanding and no tokens were requested in the last two lease times.
    pub(super) fn is_empty(&self) -> bool {
        self.grants.is_empty() && self.demand.is_empty()
    }

    /// Records requested tokens. The sum over the previous lease time determines how many surplus
    /// tokens the node is granted.
    pub(super) fn record_demand(&mut self, requested: u64) {
        self.demand.record(requested);
    }

    /// Returns the tokens requested in the previous lease time.
    pub(super) fn previous_demand(&self) -> u64 {
        self.demand.previous()
    }

    /// Returns the requests of the node's last message that still wait.
    pub(super) fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Returns all requests that wait at the node, including those of earlier messages.
    pub(super) fn queued(&self) -> u64 {
        self.queued
    }

    /// Sets how many requests of the node's last message still wait, and how many wait at the node
    /// in total.
    pub(super) fn set_waiting(&mut self, waiting: u64, queued: u64) {
        self.waiting = waiting;
        self.queued = queued.max(waiting);
    }

    /// Records a message that the node sent in the session with this epoch. Returns the longest
    /// inactivity that ended recently: requests that waited through it may still arrive.
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

    /// Records tokens granted by one reply.
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

    /// Deducts up to `tokens` from the grants, surplus ones first. A returned number above what was
    /// granted is limited to that.
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

    /// Counts a message towards the confirmation of a recall.
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

    /// Drops grants whose lease has ended. Returns how many surplus tokens among them may or may
    /// not have been spent, because no recall was confirmed.
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
