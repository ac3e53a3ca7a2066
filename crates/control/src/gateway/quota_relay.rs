//! Quota requests under way through this node.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::link::LinkId;
use crate::shard::input::CorrelationId;
use crate::timing::QUOTA_REQUEST_TIMEOUT;

/// Who waits for the reply to a quota request.
#[derive(Debug)]
pub(super) struct QuotaWaiter {
    /// The link to the waiting side.
    pub(super) link: LinkId,
    /// Number of the control node that passed the request on; absent: an agent waits.
    pub(super) relay_id: Option<u64>,
    deadline: MonotonicTime,
}

/// Quota requests under way. They are passed on once: the agent itself sends a lost one again,
/// under the same number, which the leader answers with the same grant.
#[derive(Debug, Default)]
pub(super) struct QuotaRelay {
    waiters: BTreeMap<CorrelationId, QuotaWaiter>,
}

impl QuotaRelay {
    /// A request was taken under this number.
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

    /// The request was answered. Returns who waits, unless nobody does any more.
    pub(super) fn take(&mut self, correlation_id: CorrelationId) -> Option<QuotaWaiter> {
        self.waiters.remove(&correlation_id)
    }

    /// Drops the requests that timed out.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        self.waiters.retain(|_, waiter| waiter.deadline > now);
    }

    /// A link closed.
    pub(super) fn forget_link(&mut self, link: LinkId) {
        self.waiters.retain(|_, waiter| waiter.link != link);
    }
}
