//! Quota requests in flight through this node.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::link::LinkId;
use crate::shard::input::CorrelationId;
use crate::timing::QUOTA_REQUEST_TIMEOUT;

/// The requester that waits for the reply to a quota request.
#[derive(Debug)]
pub(super) struct QuotaWaiter {
    /// Link of the agent or of the control node that forwarded the request.
    pub(super) link: LinkId,
    /// The forwarding control node's number of the request; absent if an agent sent it.
    pub(super) relay_id: Option<u64>,
    deadline: MonotonicTime,
}

/// Quota requests in flight. They are forwarded once: the agent itself resends a lost request
/// under the same number, which the leader answers with the same grant.
#[derive(Debug, Default)]
pub(super) struct QuotaRelay {
    waiters: BTreeMap<CorrelationId, QuotaWaiter>,
}

impl QuotaRelay {
    /// Adds a request under this correlation id.
    pub(super) fn insert(
        &mut self,
        now: MonotonicTime,
        correlation_id: CorrelationId,
        link: LinkId,
        relay_id: Option<u64>,
    ) {
        let waiter = QuotaWaiter {
            link,
            relay_id,
            deadline: now + QUOTA_REQUEST_TIMEOUT,
        };
        self.waiters.insert(correlation_id, waiter);
    }

    /// Removes an answered request. Returns its requester, unless it timed out or its link closed.
    pub(super) fn take(&mut self, correlation_id: CorrelationId) -> Option<QuotaWaiter> {
        self.waiters.remove(&correlation_id)
    }

    /// Drops the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        self.waiters.retain(|_, waiter| waiter.deadline > now);
    }

    /// Drops the requests of a closed link.
    pub(super) fn forget_link(&mut self, link: LinkId) {
        self.waiters.retain(|_, waiter| waiter.link != link);
    }
}
