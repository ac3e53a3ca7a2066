//! Requests to owners that wait for their replies.

use std::collections::{BTreeMap, HashMap};

use millford_api::exchange::BlockBackends;
use millford_core::{Duration, MonotonicTime};
use tokio::sync::oneshot;

use crate::owners::round_trip::RoundTrip;
use crate::quota::Grant;

/// Timeouts in a row after which the second owner of a key is preferred. A single one may be a lost
/// datagram.
const TIMEOUTS_TO_SUSPECT: u32 = 2;

/// How long an unresponsive owner is passed over: a restarted process is back within this time, and every
/// attempt costs one choice its fresh counts.
const SUSPECT_FOR: Duration = Duration::from_secs(1);

/// What an owner replied.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerReply {
    /// Counts of backends, which are in the load table already.
    Counts,
    /// The backends that have some prefix blocks cached.
    Blocks(Vec<BlockBackends>),
    /// The decision on a tenant's request; `None` where the owner has no quota of the tenant.
    Admission(Option<Grant>),
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

/// Requests by id, and which owners let them time out.
#[derive(Debug, Default)]
pub struct PendingRequests {
    last_id: u64,
    requests: HashMap<u64, PendingRequest>,
    timeouts: BTreeMap<String, OwnerTimeouts>,
    round_trip: RoundTrip,
}

impl PendingRequests {
    /// Begins a request to `owner`: its id, and the receiver of its reply.
    pub fn begin(
        &mut self,
        now: MonotonicTime,
        owner: &str,
    ) -> (u64, oneshot::Receiver<OwnerReply>) {
        let (reply_sender, reply) = oneshot::channel();
        self.last_id += 1;
        let request = PendingRequest {
            owner: owner.to_owned(),
            sent_at: now,
            reply_sender,
        };
        self.requests.insert(self.last_id, request);
        (self.last_id, reply)
    }

    /// A reply arrived. `false`: no such request is pending, or nobody waits for it any longer.
    pub fn complete(&mut self, now: MonotonicTime, id: u64, reply: OwnerReply) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        self.round_trip.add(now.since(request.sent_at));
        self.timeouts.remove(&request.owner);
        request.reply_sender.send(reply).is_ok()
    }

    /// The wait for a reply is over.
    pub fn time_out(&mut self, now: MonotonicTime, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let timeouts = self.timeouts.entry(request.owner).or_default();
        timeouts.consecutive += 1;
        if timeouts.consecutive >= TIMEOUTS_TO_SUSPECT {
            timeouts.suspect_until = Some(now + SUSPECT_FOR);
        }
    }

    /// Forgets requests whose caller went away while they were in flight.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.requests
            .retain(|_, request| now.since(request.sent_at) < SUSPECT_FOR);
    }

    /// Whether requests to an owner timed out lately.
    #[must_use]
    pub fn is_suspect(&self, now: MonotonicTime, owner: &str) -> bool {
        let timeouts = self.timeouts.get(owner);
        let until = timeouts.and_then(|timeouts| timeouts.suspect_until);
        until.is_some_and(|until| now < until)
    }

    /// How long to wait for a reply.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.round_trip.timeout()
    }
}
