//! Requests to owners that await their replies.

use std::collections::{BTreeMap, HashMap};

use millford_api::exchange::BlockBackends;
use millford_core::{Duration, MonotonicTime};
use tokio::sync::oneshot;

use crate::owners::round_trip::RoundTrip;
use crate::quota::Grant;

/// Consecutive timeouts after which an owner is suspected of being unresponsive, so that the next owner of the key
/// is preferred. A single timeout may be due to a lost datagram.
const TIMEOUTS_TO_SUSPECT: u32 = 2;

/// How long requests avoid a suspected owner. A restarted process responds again within this time, and each
/// request that times out leaves one choice without fresh counts.
const SUSPECT_DURATION: Duration = Duration::from_secs(1);

/// An owner's reply.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerReply {
    /// Load counts of backends; they were written to the load table already.
    Counts,
    /// The backends that have some prefix blocks cached.
    Blocks(Vec<BlockBackends>),
    /// The decision on a tenant's request; `None` if the owner has no quota for the tenant.
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

/// Pending requests by id, the round trip of replies, and the owners whose requests timed out.
#[derive(Debug, Default)]
pub struct PendingRequests {
    last_id: u64,
    requests: HashMap<u64, PendingRequest>,
    timeouts: BTreeMap<String, OwnerTimeouts>,
    round_trip: RoundTrip,
}

impl PendingRequests {
    /// Registers a request to `owner`. Returns its id and the receiver of its reply.
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

    /// Delivers a reply. Returns `false` if no such request is pending, or if nothing waits for it any longer.
    pub fn complete(&mut self, now: MonotonicTime, id: u64, reply: OwnerReply) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        self.round_trip.add_sample(now.since(request.sent_at));
        self.timeouts.remove(&request.owner);
        request.reply_sender.send(reply).is_ok()
    }

    /// Removes a request whose reply did not arrive in time, and counts a timeout for its owner.
    pub fn time_out(&mut self, now: MonotonicTime, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let timeouts = self.timeouts.entry(request.owner).or_default();
        timeouts.consecutive += 1;
        if timeouts.consecutive >= TIMEOUTS_TO_SUSPECT {
            timeouts.suspect_until = Some(now + SUSPECT_DURATION);
        }
    }

    /// Removes requests that were abandoned while they were in flight.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.requests
            .retain(|_, request| now.since(request.sent_at) < SUSPECT_DURATION);
    }

    /// Whether an owner is suspected of being unresponsive because of recent timeouts.
    #[must_use]
    pub fn is_suspect(&self, now: MonotonicTime, owner: &str) -> bool {
        let timeouts = self.timeouts.get(owner);
        let until = timeouts.and_then(|timeouts| timeouts.suspect_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns how long to wait for a reply.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.round_trip.timeout()
    }
}
