//! Stream slots of one tenant, leased to the nodes.
//!
//! # Why the limit holds
//! Each node is charged with the larger of the slots that it may hold and the slots that it uses.
//! The charge lasts until the node's next request, or until the node has been unresponsive for
//! [`QuotaOptions::inactive_slot_timeout`]. A node's request states how many slots it keeps; it
//! releases the others when it sends the request, before the leader can grant them again. A new
//! leader grants nothing beyond what is in use until every lease of its predecessor has ended. Each
//! connected node renews its lease within that time and so reports what it uses.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

use super::options::QuotaOptions;
use super::recall::{RecallTarget, is_recall_due};

/// Number of lease times after which a restarted node has requested the slots that it still uses,
/// and after which delayed requests of a node no longer arrive.
const GRACE_LEASES: u32 = 2;

/// The part of a node's request that concerns stream slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotRequest<'request> {
    pub(super) member: &'request str,
    pub(super) epoch: u64,
    /// Grows with each request of the session; a request with a lower id than the last is ignored.
    pub(super) request_id: u64,
    pub(super) requested: u64,
    pub(super) in_use: u64,
}

/// Limit of a tenant's slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotLimit {
    /// Most concurrent streams of the tenant over all nodes; `None` means unlimited.
    pub(super) slots: Option<u64>,
    /// Time at which every lease granted by the former leader has ended.
    pub(super) predecessor_leases_end: MonotonicTime,
}

/// Reply to the slot part of a node's request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotGrant {
    pub(super) slots: u64,
    pub(super) refused: bool,
    pub(super) retry_after: Duration,
    /// Whether idle slots of other nodes have to be recalled.
    pub(super) recall: bool,
}

#[derive(Clone, Debug)]
struct SlotLease {
    epoch: u64,
    request_id: u64,
    granted: u64,
    /// Most slots that the node may use. It exceeds `granted` after a smaller grant, because the
    /// reply with that grant may not have reached the node.
    may_hold: u64,
    in_use: u64,
    renewed_at: MonotonicTime,
    /// When a newer session of the member first appeared. The lease ends [`GRACE_LEASES`] lease
    /// times later unless the newer session has replaced it by then.
    superseded_at: Option<MonotonicTime>,
    recall_sent_at: Option<MonotonicTime>,
}

impl SlotLease {
    fn charge(&self) -> u64 {
        self.may_hold.max(self.in_use)
    }

    fn has_ended(&self, now: MonotonicTime, options: &QuotaOptions) -> bool {
        // A lease without slots is kept while older requests of the node may still arrive. Without
        // it, a delayed request would be handled as a new one.
        let timeout = match self.charge() {
            0 => options.lease * GRACE_LEASES,
            _ => options.inactive_slot_timeout,
        };
        let timed_out = now.since(self.renewed_at) >= timeout;
        let superseded = self
            .superseded_at
            .is_some_and(|since| now.since(since) >= options.lease * GRACE_LEASES);
        timed_out || superseded
    }

    fn may_return_slots(&self, now: MonotonicTime, options: &QuotaOptions) -> bool {
        let live = now.since(self.renewed_at) < options.lease;
        live && self.granted > self.in_use
    }
}

/// Slot leases of one tenant, by member.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotLeases {
    leases: BTreeMap<String, SlotLease>,
}

impl SlotLeases {
    /// Grants the requested slots as far as the limit allows, and never fewer than are in use.
    pub(super) fn handle(
        &mut self,
        now: MonotonicTime,
        request: SlotRequest<'_>,
        limit: SlotLimit,
        options: &QuotaOptions,
    ) -> SlotGrant {
        self.expire(now, options);
        if let Some(unchanged) = self.grant_for_outdated(request) {
            return unchanged;
        }
        let capacity = match limit.slots {
            None => u64::MAX,
            Some(_) if now < limit.predecessor_leases_end => 0,
            Some(slots) => slots.saturating_sub(self.charged_to_others(request.member)),
        };
        // Streams in use are never cut off, even when the limit was lowered.
        let in_use = request.in_use.min(request.requested);
        let slots = request.requested.min(capacity).max(in_use);
        self.record_grant(now, request, slots);
        let mut grant = SlotGrant {
            slots,
            ..SlotGrant::default()
        };
        if slots < request.requested {
            self.handle_shortfall(now, request.member, limit, options, &mut grant);
        }
        grant
    }

    /// Returns the members whose idle slots have to be recalled now, and records the recalls as
    /// sent.
    pub(super) fn start_recalls(
        &mut self,
        now: MonotonicTime,
        options: &QuotaOptions,
    ) -> Vec<RecallTarget> {
        let mut targets = Vec::new();
        for (member, lease) in &mut self.leases {
            let due = is_recall_due(lease.recall_sent_at, now, options.recall_retry_delay);
            if due && lease.may_return_slots(now, options) {
                lease.recall_sent_at = Some(now);
                targets.push(RecallTarget {
                    member: member.clone(),
                    epoch: lease.epoch,
                });
            }
        }
        targets
    }

    /// Marks the lease of an older session of the member as superseded by the session with `epoch`.
    pub(super) fn supersede(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        if let Some(lease) = self.leases.get_mut(member)
            && lease.epoch < epoch
            && lease.superseded_at.is_none()
        {
            lease.superseded_at = Some(now);
        }
    }

    /// Drops the leases that have ended.
    pub(super) fn expire(&mut self, now: MonotonicTime, options: &QuotaOptions) {
        self.leases
            .retain(|_, lease| !lease.has_ended(now, options));
    }

    /// Whether no member has a lease.
    pub(super) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns the current grant for a request older than the last one of its session, which must
    /// not change the lease. Returns `None` for any other request.
    fn grant_for_outdated(&self, request: SlotRequest<'_>) -> Option<SlotGrant> {
        let lease = self.leases.get(request.member)?;
        let outdated = lease.epoch == request.epoch && lease.request_id > request.request_id;
        outdated.then(|| SlotGrant {
            slots: lease.granted,
            ..SlotGrant::default()
        })
    }

    fn charged_to_others(&self, member: &str) -> u64 {
        let others = self.leases.iter().filter(|(name, _)| *name != member);
        others.map(|(_, lease)| lease.charge()).sum()
    }

    fn record_grant(&mut self, now: MonotonicTime, request: SlotRequest<'_>, granted: u64) {
        let former = self.leases.get(request.member);
        let renewed = former.filter(|lease| lease.epoch == request.epoch);
        // Safety: when the node sent the request, it released only the slots that it did not
        // request. It stops using the others only if the reply with a smaller grant arrives.
        let kept = renewed.map_or(0, |lease| lease.may_hold.min(request.requested));
        let lease = SlotLease {
            epoch: request.epoch,
            request_id: request.request_id,
            granted,
            may_hold: granted.max(kept),
            in_use: request.in_use,
            renewed_at: now,
            superseded_at: None,
            recall_sent_at: None,
        };
        self.leases.insert(request.member.to_owned(), lease);
    }

    fn handle_shortfall(
        &self,
        now: MonotonicTime,
        member: &str,
        limit: SlotLimit,
        options: &QuotaOptions,
        grant: &mut SlotGrant,
    ) {
        if now < limit.predecessor_leases_end {
            grant.retry_after = limit.predecessor_leases_end.since(now);
            return;
        }
        let mut others = self.leases.iter().filter(|(name, _)| *name != member);
        if others.any(|(_, lease)| lease.may_return_slots(now, options)) {
            grant.recall = true;
            grant.retry_after = options.recall_retry_delay;
        } else {
            grant.refused = true;
            grant.retry_after = options.lease;
        }
    }
}
