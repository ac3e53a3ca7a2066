//! Tokens of one tenant at the shard's leader.
//!
//! # Why the quota holds under one leader
//! Let A be the available tokens and the surplus tokens at the nodes (an upper bound: a surplus
//! token counts until it is returned or its lease has certainly ended, see
//! [`QuotaOptions::leader_lease`]). A never exceeds the burst, because refilling stops there.
//! Granting for a waiting request lowers A at that moment; spending a surplus token lowers the true
//! value of A at that moment; a lease that ends lowers A without any spending. Only time raises A,
//! by the rate. So what is spent in a window is at most A at its start and what the rate yielded:
//! burst + rate * window.

use std::collections::BTreeMap;

use millford_api::config::Quota;
use millford_core::{Duration, MonotonicTime};

use super::bucket::{Bucket, MICROTOKENS_PER_TOKEN, surplus_limit};
use super::member_lease::MemberLease;
use super::options::QuotaOptions;
use super::outage_credit::OutageCredit;
use super::recall::RecallTarget;
use super::takeover::Takeover;

/// Part of a node's demand in the previous lease time that it is granted beyond what it requests.
const SURPLUS_DEMAND_DIVISOR: u64 = 4;
/// Part of the available tokens that one reply may grant as surplus ones.
const SURPLUS_AVAILABLE_DIVISOR: u64 = 8;

/// A node that was inactive for longer than this may have kept requests waiting meanwhile.
const MAX_ORDINARY_INACTIVITY: Duration = Duration::from_millis(100);

/// Part of the queue that is given up with each refusal, so that no queue persists while the tenant
/// goes on to be over its quota.
const QUEUE_DRAIN_DIVISOR: u64 = 8;

/// A wait in which the rate yields more than this many bursts comes from an outage.
const LONG_WAIT_BURSTS: u64 = 2;

/// The token part of a node's request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenRequest<'request> {
    pub(super) member: &'request str,
    pub(super) epoch: u64,
    pub(super) requested: u64,
    /// Every request that waits at the node, those of its messages in flight included.
    pub(super) waiting: u64,
    pub(super) returned: u64,
    /// How long the oldest waiting request has waited.
    pub(super) oldest_wait: Duration,
}

/// What the node gets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenGrant {
    pub(super) tokens: u64,
    /// Requests that are refused; the other missing ones wait on.
    pub(super) refused: u64,
    pub(super) retry_after: Duration,
    /// Idle tokens of other nodes are to be recalled.
    pub(super) recall: bool,
}

/// Bucket and leases of one tenant.
#[derive(Clone, Debug)]
pub(super) struct TokenAccount {
    /// Burst of the quota, in whole tokens.
    burst: u32,
    bucket: Bucket,
    leases: BTreeMap<String, MemberLease>,
    outage: OutageCredit,
}

impl TokenAccount {
    /// The account of a tenant without grants.
    pub(super) fn new(quota: &Quota, takeover: Takeover, now: MonotonicTime) -> Self {
        Self {
            burst: quota.burst,
            bucket: Bucket::new(quota, takeover, now),
            leases: BTreeMap::new(),
            outage: OutageCredit::default(),
        }
    }

    /// Takes back what is returned and grants what is requested, as far as it is available.
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
            self.decide_missing(now, request, missing, options, &mut grant);
        }
        self.record_waiting(now, request, granted, grant.refused);
        grant
    }

    /// Members whose idle surplus tokens are to be recalled now.
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

    /// Brings the account to `now`: the bucket, then leases that ended.
    ///
    /// The bucket is refilled before leases are dropped, with the surplus tokens that were granted
    /// during that time.
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

    /// Whether a new account would be the same.
    pub(super) fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.bucket.is_full()
    }

    fn take_returned(&mut self, now: MonotonicTime, request: TokenRequest<'_>) {
        let Some(lease) = self.leases.get_mut(request.member) else {
            return;
        };
        if lease.epoch() != request.epoch {
            // Another process of the member: it does not return what the former one was granted.
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

    /// Takes out of the bucket what is requested, as far as it is available.
    fn grant_available(&mut self, request: TokenRequest<'_>, unobserved: Duration) -> u64 {
        let granted = request.requested.min(self.bucket.available_tokens());
        self.bucket.grant(granted);
        let accrued = self.accrued_in_outage(granted, unobserved);
        self.bucket.add_uncertain(accrued);
        granted
    }

    /// Takes surplus tokens out of the bucket for a node that got all that it requested.
    fn grant_surplus(&mut self, request: TokenRequest<'_>, granted: u64) -> u64 {
        if granted < request.requested || request.requested == 0 {
            return 0;
        }
        let surplus = self.surplus_for(request.member);
        self.bucket.grant(surplus);
        surplus
    }

    /// Decides about missing tokens. Nothing is refused while idle tokens may come back, nor while
    /// tokens of unknown fate would suffice for it and for all that waits already.
    ///
    /// The optimistic count is never below what a single exact bucket would have, the waiting
    /// requests not yet taken out. For requests that waited where this leader could not know of
    /// them that bucket would have gone on to accrue, full or not, so that counts as well. A tenant
    /// under its quota therefore never has more waiting than both together, and is not refused.
    /// A tenant that has more is certainly over its quota: part of its queue goes too, because a
    /// queue that persists makes every later request wait until it times out.
    fn decide_missing(
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

    /// Records what still waits after a request was handled.
    fn record_waiting(
        &mut self,
        now: MonotonicTime,
        request: TokenRequest<'_>,
        granted: u64,
        refused: u64,
    ) {
        let waiting = request.requested - granted - refused;
        // A message names only what no message before it named. What the others named still waits:
        // were it left out, the optimistic count would be lowered to what remains, and the next
        // message for all of them would be refused.
        let queued = request.waiting.max(request.requested) - granted - refused;
        self.lease(now, request).set_waiting(waiting, queued);
        self.update_waiting();
    }

    fn update_waiting(&mut self) {
        let queued = self.leases.values().map(MemberLease::queued).sum();
        self.bucket.set_waiting(queued);
    }

    /// How long requests of the node may have waited without this leader's knowing of them.
    ///
    /// A returning node's messages may arrive in a row, the oldest first, so the inactivity before
    /// the first of them counts for a while.
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

    /// Of tokens granted after a long wait, how many an exact bucket would have granted at once, and
    /// accrued again since. They count only where it is decided whether to refuse others.
    ///
    /// Shorter waits come from the queue at this leader itself and must not make it persist.
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

    /// Surplus tokens follow the node's own demand, and only while the bucket is at least half full,
    /// so that near the limit nothing lies idle at the nodes.
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

    /// Upper bound of surplus tokens at the nodes, in microtokens.
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
