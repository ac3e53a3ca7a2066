//! Token bucket of one tenant, with two counts: the tokens that may be granted, and an upper bound
//! of the unspent tokens that decides whether requests are refused.

use millford_api::config::Quota;
use millford_core::{Duration, MonotonicTime};

use super::takeover::Takeover;

/// Microtokens in one token. A rate in tokens a second is the same number of microtokens a
/// microsecond, so that no fractions are needed.
pub(super) const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Longest time without a leader that a new leader allows for: requests that arrived during that
/// time and stayed within the rate are not refused.
const MAX_LEADERLESS_TIME: Duration = Duration::from_secs(5);

/// Retry delay in replies under a quota whose rate is 0, which never yields a token.
const ZERO_RATE_RETRY_DELAY: Duration = Duration::from_mins(1);

/// Most surplus tokens that may be outstanding at the nodes at any time under a quota with this
/// `burst`: half of it, in whole tokens.
pub(super) fn surplus_limit(burst: u32) -> u64 {
    u64::from(burst) / 2
}

/// Bucket of one tenant. Amounts are in microtokens; the rate is in tokens a second, which is the
/// same number of microtokens a microsecond.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    rate: u64,
    burst: u64,
    surplus_limit: u64,
    takeover: Takeover,
    updated_at: MonotonicTime,
    /// Microtokens that may be granted. Invariant: `available` and the surplus tokens at the nodes
    /// together are never more than `burst`.
    available: u64,
    /// Upper bound of what a single exact bucket for the whole fleet would contain before it serves
    /// the waiting requests. Tokens that may or may not have been spent count as unspent here.
    /// Requests are refused only when this bound does not cover them.
    optimistic: u64,
    /// Requests that wait at the nodes, in microtokens. A bucket that had served them when they
    /// arrived would have refilled since, so the optimistic count may exceed the burst by their
    /// number.
    waiting: u64,
}

impl Bucket {
    /// Creates the bucket of a tenant that made no request since the leader's takeover, refilled up
    /// to `now`.
    pub(super) fn new(quota: &Quota, takeover: Takeover, now: MonotonicTime) -> Self {
        let burst = u64::from(quota.burst) * MICROTOKENS_PER_TOKEN;
        let mut bucket = Self {
            rate: u64::from(quota.requests_per_second),
            burst,
            surplus_limit: surplus_limit(quota.burst) * MICROTOKENS_PER_TOKEN,
            takeover,
            updated_at: takeover.grants_from,
            available: 0,
            optimistic: burst,
            waiting: 0,
        };
        if now < takeover.predecessor_leases_end {
            // Requests that arrived while there was no leader still wait at the nodes.
            bucket.optimistic += bucket.accrued(MAX_LEADERLESS_TIME);
        }
        bucket.refill(now, 0);
        bucket
    }

    /// Refills the bucket up to `now`; `surplus` is the upper bound of the surplus microtokens at
    /// the nodes.
    pub(super) fn refill(&mut self, now: MonotonicTime, surplus: u64) {
        if now <= self.updated_at {
            return;
        }
        let leases_end = self.takeover.predecessor_leases_end;
        if self.updated_at < leases_end {
            // Safety: until then the predecessor's surplus tokens, up to `surplus_limit`, may still
            // be spent in addition to the tokens of this bucket.
            let limit = self.burst - self.surplus_limit;
            self.accrue_until(now.min(leases_end), limit, surplus);
        }
        let uncertainty_ends = self.takeover.uncertainty_ends;
        let uncertainty_ends_now = self.updated_at < uncertainty_ends && uncertainty_ends <= now;
        self.accrue_until(now, self.burst, surplus);
        if uncertainty_ends_now {
            self.optimistic = self.optimistic.min(self.available + surplus);
        }
        if now >= leases_end {
            self.limit_optimistic();
        }
    }

    /// Returns how many whole tokens may be granted.
    pub(super) fn available_tokens(&self) -> u64 {
        self.available / MICROTOKENS_PER_TOKEN
    }

    /// Returns the optimistic count in whole tokens.
    pub(super) fn optimistic_tokens(&self) -> u64 {
        self.optimistic / MICROTOKENS_PER_TOKEN
    }

    /// Returns how many whole tokens the rate yields in `time`.
    pub(super) fn tokens_accrued(&self, time: Duration) -> u64 {
        self.accrued(time) / MICROTOKENS_PER_TOKEN
    }

    /// Whether the whole burst may be granted.
    pub(super) fn is_full(&self) -> bool {
        self.available == self.burst
    }

    /// Deducts tokens that are granted to a node; at most [`Bucket::available_tokens`].
    pub(super) fn grant(&mut self, tokens: u64) {
        let microtokens = tokens * MICROTOKENS_PER_TOKEN;
        self.available = self.available.saturating_sub(microtokens);
        self.optimistic = self.optimistic.saturating_sub(microtokens);
    }

    /// Deducts requests from the optimistic count that are refused although it covers them.
    pub(super) fn deduct_refused(&mut self, requests: u64) {
        let microtokens = requests * MICROTOKENS_PER_TOKEN;
        self.optimistic = self.optimistic.saturating_sub(microtokens);
    }

    /// Returns unspent surplus tokens to the bucket. They counted against the burst while they were
    /// at the node, so all of them become available again.
    pub(super) fn return_surplus(&mut self, tokens: u64, remaining_surplus: u64) {
        let microtokens = tokens * MICROTOKENS_PER_TOKEN;
        let capacity = self.burst.saturating_sub(remaining_surplus);
        self.available = (self.available + microtokens).min(capacity);
        self.add_optimistic(microtokens);
    }

    /// Returns unspent tokens to the bucket that were granted for waiting requests `age` ago.
    ///
    /// They did not count against the burst meanwhile. A bucket that had never granted them would
    /// contain more by at least their number less what was refilled since. That much becomes
    /// available again, so the bucket never contains more than such a bucket would.
    pub(super) fn return_requested(&mut self, tokens: u64, age: Duration, surplus: u64) {
        let microtokens = tokens * MICROTOKENS_PER_TOKEN;
        let returned = microtokens.saturating_sub(self.accrued(age));
        let capacity = self.burst.saturating_sub(surplus);
        self.available = (self.available + returned).min(capacity.max(self.available));
        self.add_optimistic(microtokens);
    }

    /// Adds tokens that may or may not have been spent to the optimistic count only.
    pub(super) fn add_uncertain(&mut self, tokens: u64) {
        self.add_optimistic(tokens * MICROTOKENS_PER_TOKEN);
    }

    /// Sets how many requests wait at the nodes.
    pub(super) fn set_waiting(&mut self, requests: u64) {
        self.waiting = requests * MICROTOKENS_PER_TOKEN;
    }

    /// Returns the time until the next whole token may be granted.
    pub(super) fn until_next_token(&self, now: MonotonicTime) -> Duration {
        let until_grants = self.takeover.grants_from.since(now);
        let missing = MICROTOKENS_PER_TOKEN.saturating_sub(self.available % MICROTOKENS_PER_TOKEN);
        match missing.checked_div(self.rate) {
            Some(micros) => until_grants + Duration::from_micros(micros + 1),
            None => ZERO_RATE_RETRY_DELAY,
        }
    }

    /// Switches to another quota. The tokens that a larger burst adds are available at once.
    pub(super) fn set_quota(&mut self, quota: &Quota, surplus: u64) {
        let burst = u64::from(quota.burst) * MICROTOKENS_PER_TOKEN;
        let added = burst.saturating_sub(self.burst);
        self.rate = u64::from(quota.requests_per_second);
        self.burst = burst;
        self.surplus_limit = surplus_limit(quota.burst) * MICROTOKENS_PER_TOKEN;
        self.available = (self.available + added).min(burst.saturating_sub(surplus));
        self.optimistic = (self.optimistic + added).min(burst + self.waiting);
    }

    fn accrue_until(&mut self, until: MonotonicTime, limit: u64, surplus: u64) {
        if until <= self.updated_at {
            return;
        }
        let accrued = self.accrued(until.since(self.updated_at));
        let capacity = limit.saturating_sub(surplus);
        self.available = (self.available + accrued).min(capacity.max(self.available));
        self.add_optimistic(accrued);
        self.updated_at = until;
    }

    fn accrued(&self, time: Duration) -> u64 {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.rate.saturating_mul(micros)
    }

    /// Limits the optimistic count to the burst and the waiting requests: an exact bucket never
    /// contains more than a burst on top of what the waiting requests will take. Without the limit,
    /// requests that the nodes abandoned would stay in the count.
    fn limit_optimistic(&mut self) {
        self.optimistic = self.optimistic.min(self.burst + self.waiting);
    }

    fn add_optimistic(&mut self, microtokens: u64) {
        let limit = self.burst + self.waiting;
        let raised = self.optimistic.saturating_add(microtokens).min(limit);
        self.optimistic = self.optimistic.max(raised);
    }
}
