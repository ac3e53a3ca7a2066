//! Account of one tenant's tokens at the shard's leader.
//!
//! # Why the quota holds under one leader
//! Let A be the sum of the available tokens and the surplus tokens at the nodes. A is an upper
//! bound: a surplus token counts until it is returned or its lease has certainly ended, see
//! [`QuotaOptions::leader_lease`]. A never exceeds the burst, because refilling stops there.
//! Granting for a waiting request lowers A at that moment. Spending a surplus token lowers the true
//! value of A at that moment. A lease that ends lowers A without any spending. A rises only over
//! time, by the rate. So the tokens spent in a window are at most A at its start plus what the rate
//! yields in it: burst + rate * window.

use std::collections::BTreeMap;

use millford_api::config::Quota;
use millford_core::{Duration, MonotonicTime};

use super::bucket::{Bucket, MICROTOKENS_PER_TOKEN, surplus_limit};
use super::member_lease::MemberLease;
use super::options::QuotaOptions;
use super::outage_credit::OutageCredit;
use super::recall::RecallTarget;
use super::takeover::Takeover;

/// A node is granted at most its demand in the previous lease time divided by this as surplus.
const SURPLUS_DEMAND_DIVISOR: u64 = 4;
/// One reply grants at most the available tokens divided by this as surplus.
const SURPLUS_AVAILABLE_DIVISOR: u64 = 8;

/// Longest time between two messages of a node that counts as normal operation. After a longer one,
/// requests may have waited at the node that were not reported to the leader.
const MAX_ORDINARY_INACTIVITY: Duration = Duration::from_millis(100);

/// With each refusal, the allowed queue divided by this is refused as well, so that no queue
/// persists while the tenant stays over its quota.
const QUEUE_DRAIN_DIVISOR: u64 = 8;

/// A wait during which the rate yields more than this many bursts is attributed to an outage.
const LONG_WAIT_BURSTS: u64 = 2;

/// The part of a node's request that concerns tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenRequest<'request> {
    pub(super) member: &'request str,
    pub(super) epoch: u64,
    pub(super) requested: u64,
    /// All requests that wait at the node, including those of its other messages in flight.
    pub(super) waiting: u64,
    pub(super) returned: u64,
    /// How long the oldest waiting request has waited.
    pub(super) oldest_wait: Duration,
}

/// Reply to the token part of a node's request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenGrant {
    pub(super) tokens: u64,
    /// Number of refused requests; the others without a token continue to wait.
    pub(super) refused: u64,
    pub(super) retry_after: Duration,
    /// Whether idle tokens of other nodes have to be recalled.
    pub(super) recall: bool,
}

/// Token bucket and token leases of one tenant.
#[derive(Clone, Debug)]
pub(super) struct TokenAccount {
    /// Burst of the quota, in whole tokens.
    burst: u32,
    bucket: Bucket,
    leases: BTreeMap<String, MemberLease>,
    outage: OutageCredit,
}

impl TokenAccount {
    /// Creates the account of a tenant without grants.
    pub(super) fn new(quota: &Quota, takeover: Takeover, now: MonotonicTime) -> Self {
        Self {
            burst: quota.burst,
            bucket: Bucket::new(quota, takeover, now),
            leases: BTreeMap::new(),
            outage: OutageCredit::default(),
        }
    }

    /// Takes back returned tokens and grants the requested ones as far as they are available.
    pub(super) fn handle(
        &mut self,
        now: MonotonicTime,
        request: TokenRequest<'_>,
        options: &QuotaOptions,
    ) -> TokenGrant {
        self.advance(now, options);
        self.take_returned(now, request);
        let unobserved = self.unobserved_wait(now, request);
        self.outage
            .record(now, self.bucket.tokens_accrued(unobserved));
        let granted = self.grant_available(request, unobserved);
        let surplus = self.grant_surplus(request, granted);
        let lease = self.lease(now, request);
        lease.record_demand(request.requested);
        lease.grant(now, granted, surplus);
        let missing = request.requested - granted;
        let mut grant = TokenGrant {
            tokens: granted + surplus,
            ..TokenGrant::default()
        };
        if missing > 0 {
            self.handle_shortfall(now, request, missing, options, &mut grant);
        }
        self.record_waiting(now, request, granted, grant.refused);
        grant
    }

    /// Returns the members whose surplus tokens have to be recalled now, and records the recalls as
    /// sent.
    pub(super) fn start_recalls(
        &mut self,
        now: MonotonicTime,
        options: &QuotaOptions,
    ) -> Vec<RecallTarget> {
        self.leases
            .iter_mut()
            .filter_map(|(member, lease)| {
                let due = lease.may_return_surplus()
                    && lease.start_recall(now, options.recall_retry_delay);
                due.then(|| RecallTarget {
                    member: member.clone(),
                    epoch: lease.epoch(),
                })
            })
            .collect()
    }

    /// Refills the bucket up to `now`, then drops leases that have ended.
    ///
    /// The order matters: the surplus tokens of those leases limit the refill up to `now`.
    pub(super) fn advance(&mut self, now: MonotonicTime, options: &QuotaOptions) {
        let surplus = self.surplus();
        self.bucket.refill(now, surplus);
        let lease_time = options.leader_lease();
        let mut unknown = 0;
        for lease in self.leases.values_mut() {
            unknown += lease.expire(now, lease_time);
        }
        self.bucket.add_uncertain(unknown);
        self.leases.retain(|_, lease| !lease.is_empty());
        self.update_waiting();
        if let Some(tokens) = self.outage.expire(now) {
            self.bucket.add_uncertain(tokens);
        }
    }

    /// Switches to another quota.
    pub(super) fn set_quota(&mut self, now: MonotonicTime, quota: &Quota, options: &QuotaOptions) {
        self.advance(now, options);
        let surplus = self.surplus();
        self.burst = quota.burst;
        self.bucket.set_quota(quota, surplus);
    }

    /// Whether a new account would be in the same state.
    pub(super) fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.bucket.is_full()
    }

    fn take_returned(&mut self, now: MonotonicTime, request: TokenRequest<'_>) {
        let Some(lease) = self.leases.get_mut(request.member) else {
            return;
        };
        if lease.epoch() != request.epoch {
            // A new session of the member does not hold tokens granted to the former session.
            return;
        }
        let returned = lease.take_returned(now, request.returned);
        lease.record_recall_response();
        for tokens in returned {
            let surplus = self.surplus();
            self.bucket.return_surplus(tokens.surplus, surplus);
            self.bucket
                .return_requested(tokens.requested, tokens.age, surplus);
        }
    }

    /// Grants the requested tokens as far as they are available.
    fn grant_available(&mut self, request: TokenRequest<'_>, unobserved: Duration) -> u64 {
        let granted = request.requested.min(self.bucket.available_tokens());
        self.bucket.grant(granted);
        let accrued = self.accrued_in_outage(granted, unobserved);
        self.bucket.add_uncertain(accrued);
        granted
    }

    /// Grants surplus tokens to a node that got all the tokens it requested.
    fn grant_surplus(&mut self, request: TokenRequest<'_>, granted: u64) -> u64 {
        if granted < request.requested || request.requested == 0 {
            return 0;
        }
        let surplus = self.surplus_for(request.member);
        self.bucket.grant(surplus);
        surplus
    }

    /// Decides whether requests without a token wait or are refused. None is refused while idle
    /// tokens may still be returned, nor while the optimistic count and the outage credit cover it
    /// and all other waiting requests.
    ///
    /// The optimistic count is never below what a single exact bucket would contain before serving
    /// the waiting requests. For requests that waited at a node without contact to this leader, the
    /// exact bucket would have served them and gone on refilling; the outage credit covers that. A
    /// tenant within its quota therefore never has more requests waiting than both together, and
    /// none of them is refused. A tenant with more is certainly over its quota. Part of its queue
    /// is then refused too, because a queue that persists makes every later request wait until it
    /// times out.
    fn handle_shortfall(
        &mut self,
        now: MonotonicTime,
        request: TokenRequest<'_>,
        missing: u64,
        options: &QuotaOptions,
        grant: &mut TokenGrant,
    ) {
        grant.retry_after = self.bucket.until_next_token(now);
        if self.leases.values().any(MemberLease::may_return_surplus) {
            grant.recall = true;
            grant.retry_after = grant.retry_after.min(options.recall_retry_delay);
            return;
        }
        let waiting = missing + self.waiting_elsewhere(request.member);
        let allowed = self.bucket.optimistic_tokens() + self.outage.tokens();
        let excess = waiting.saturating_sub(allowed).min(missing);
        if excess == 0 {
            return;
        }
        let drained = if self.outage.is_active() {
            0
        } else {
            allowed.div_ceil(QUEUE_DRAIN_DIVISOR).min(missing - excess)
        };
        self.bucket.deduct_refused(drained);
        grant.refused = excess + drained;
    }

    /// Records how many requests still wait at the node after a message was handled.
    fn record_waiting(
        &mut self,
        now: MonotonicTime,
        request: TokenRequest<'_>,
        granted: u64,
        refused: u64,
    ) {
        let waiting = request.requested - granted - refused;
        // A message requests tokens only for requests that no earlier message covers. The requests
        // of earlier messages still wait and must be counted: otherwise the optimistic count would
        // be limited to the others, and the next message that covers all of them would be refused.
        let queued = request.waiting.max(request.requested) - granted - refused;
        self.lease(now, request).set_waiting(waiting, queued);
        self.update_waiting();
    }

    fn update_waiting(&mut self) {
        let queued = self.leases.values().map(MemberLease::queued).sum();
        self.bucket.set_waiting(queued);
    }

    /// Returns how long requests of the node may have waited without contact to this leader.
    ///
    /// When a node reconnects, several messages may arrive in a row, the oldest first. The
    /// inactivity before the first of them therefore counts for all messages within
    /// [`super::options::OUTAGE_RETURN_WINDOW`].
    fn unobserved_wait(&mut self, now: MonotonicTime, request: TokenRequest<'_>) -> Duration {
        let inactivity = self.lease(now, request).record_contact(now, request.epoch);
        if inactivity.length <= MAX_ORDINARY_INACTIVITY {
            return Duration::ZERO;
        }
        let observed = now.since(inactivity.ended_at);
        request
            .oldest_wait
            .saturating_sub(observed)
            .min(inactivity.length)
    }

    /// Returns how many of the tokens granted after a long wait an exact bucket would have granted
    /// at once and refilled since. They raise the optimistic count only.
    ///
    /// Shorter waits come from the queue at this leader itself and must not make that queue
    /// persist.
    fn accrued_in_outage(&self, granted: u64, waited: Duration) -> u64 {
        let accrued = self.bucket.tokens_accrued(waited);
        if accrued > u64::from(self.burst) * LONG_WAIT_BURSTS {
            accrued.min(granted)
        } else {
            0
        }
    }

    fn waiting_elsewhere(&self, member: &str) -> u64 {
        let others = self.leases.iter().filter(|(name, _)| *name != member);
        others.map(|(_, lease)| lease.waiting()).sum()
    }

    /// Returns how many surplus tokens to grant to a member. The number follows the member's own
    /// demand. It is 0 while the bucket is less than half full, so that no tokens lie idle at the
    /// nodes when the tenant is close to its quota.
    fn surplus_for(&self, member: &str) -> u64 {
        let available = self.bucket.available_tokens();
        if available * 2 < u64::from(self.burst) {
            return 0;
        }
        let demand = self
            .leases
            .get(member)
            .map_or(0, MemberLease::previous_demand);
        let granted_surplus = self.surplus() / MICROTOKENS_PER_TOKEN;
        let remaining = surplus_limit(self.burst).saturating_sub(granted_surplus);
        (demand / SURPLUS_DEMAND_DIVISOR)
            .min(available / SURPLUS_AVAILABLE_DIVISOR)
            .min(remaining)
    }

    /// Returns an upper bound of the surplus tokens at the nodes, in microtokens.
    fn surplus(&self) -> u64 {
        let tokens: u64 = self.leases.values().map(MemberLease::surplus).sum();
        tokens * MICROTOKENS_PER_TOKEN
    }

    fn lease(&mut self, now: MonotonicTime, request: TokenRequest<'_>) -> &mut MemberLease {
        self.leases
            .entry(request.member.to_owned())
            .or_insert_with(|| MemberLease::new(request.epoch, now))
    }
}
