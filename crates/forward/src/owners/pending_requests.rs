//! Questions to owners that wait for their answers.

use std::collections::{BTreeMap, HashMap};

use millford_api::exchange::BlockBackends;
use millford_core::{Duration, MonotonicTime};
use tokio::sync::oneshot;

use crate::owners::round_trip::RoundTrip;
use crate::quota::Grant;

/// Questions in a row without an answer after which an owner's stand-in is asked. One alone may be a
/// lost datagram.
const TIMEOUTS_TO_SUSPECT: u32 = 2;

/// How long a silent owner is passed over: a restarted process is back within this time, and every try
/// costs one choice its fresh counts.
const SUSPECT_FOR: Duration = Duration::from_secs(1);

/// What an owner answered.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerReply {
    /// Counts of backends, which are on the board already.
    Counts,
    /// The backends that keep some parts.
    Blocks(Vec<BlockBackends>),
    /// The decision on a request of a tenant; nothing where the owner knows of no quota.
    Quota(Option<Grant>),
}

#[derive(Debug)]
struct PendingRequest {
    owner: String,
    sent_at: MonotonicTime,
    reply_sender: oneshot::Sender<OwnerReply>,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnerTimeouts {
    consecutive: u32,
    suspect_until: Option<MonotonicTime>,
}

/// Questions by number, and which owners leave them unanswered.
#[derive(Debug, Default)]
pub struct PendingRequests {
    last_id: u64,
    requests: HashMap<u64, PendingRequest>,
    timeouts: BTreeMap<String, OwnerTimeouts>,
    round_trip: RoundTrip,
}

impl PendingRequests {
    /// Begins a question. The receiver resolves once it is answered.
    pub fn begin(
        &mut self,
        now: MonotonicTime,
        owner: &str,
    ) -> (u64, oneshot::Receiver<OwnerReply>) {
        let (reply_sender, complete) = oneshot::channel();
        self.last_id += 1;
        let pending = PendingRequest {
            owner: owner.to_owned(),
            sent_at: now,
            reply_sender,
        };
        self.requests.insert(self.last_id, pending);
        (self.last_id, complete)
    }

    /// An answer came. False: nobody asked, or nobody waits any longer and the owner is only heard.
    pub fn complete(&mut self, now: MonotonicTime, id: u64, answer: OwnerReply) -> bool {
        let Some(pending) = self.requests.remove(&id) else {
            return false;
        };
        self.round_trip.add(now.since(pending.sent_at));
        self.timeouts.remove(&pending.owner);
        pending.reply_sender.send(answer).is_ok()
    }

    /// The wait for an answer is over.
    pub fn time_out(&mut self, now: MonotonicTime, id: u64) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        let owner_timeouts = self.timeouts.entry(pending.owner).or_default();
        owner_timeouts.consecutive += 1;
        if owner_timeouts.consecutive >= TIMEOUTS_TO_SUSPECT {
            owner_timeouts.suspect_until = Some(now + SUSPECT_FOR);
        }
    }

    /// Forgets questions whose request went away while it waited.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.requests
            .retain(|_, pending| now.since(pending.sent_at) < SUSPECT_FOR);
    }

    /// Whether an owner left questions unanswered lately.
    #[must_use]
    pub fn is_suspect(&self, now: MonotonicTime, owner: &str) -> bool {
        let owner_timeouts = self.timeouts.get(owner);
        let until = owner_timeouts.and_then(|owner_timeouts| owner_timeouts.suspect_until);
        until.is_some_and(|until| now < until)
    }

    /// How long to wait for an answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.round_trip.timeout()
    }
}
