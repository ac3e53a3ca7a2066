//! Token bucket of one tenant, counted twice: what may be granted, and what may be unspent at most.

use millford_api::config::Quota;
use millford_core::{Duration, MonotonicTime};

use super::takeover::Takeover;

/// Microtokens in one token. With times in microseconds, rates stay whole numbers.
pub(super) const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Longest time without a leader for which the requests that arrived meanwhile are not refused.
const MAX_VACANCY: Duration = Duration::from_secs(5);

/// When to retry under a quota whose rate is 0.
const RETRY_WITHOUT_RATE: Duration = Duration::from_mins(1);

/// Largest part of a burst that may be granted as surplus tokens at any time, in whole tokens.
pub(super) fn surplus_limit(burst: u32) -> u64 {
    u64::from(burst) / 2
}

/// Bucket in microtokens; the rate is in tokens a second, which is microtokens a microsecond.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    rate: u64,
    burst: u64,
    surplus_limit: u64,
    takeover: Takeover,
    updated_at: MonotonicTime,
    /// May be granted. Invariant: `available` and the surplus tokens at the nodes together are
    /// never more than `burst`.
    available: u64,
    /// At least as much as would be there if every token whose fate is unknown had not been spent,
    /// and nothing had been taken out yet for the requests that wait.
    optimistic: u64,
    /// Requests that wait. A bucket that had served them when they arrived would have refilled
    /// since, so the optimistic count may exceed the burst by their number.
    waiting: u64,
}

impl Bucket {
    /// The bucket of a tenant that has not been seen since the leader's takeover, at `now`.
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
            // Requests that arrived while there was no leader wait in the nodes.
            bucket.optimistic += bucket.accrued(MAX_VACANCY);
        }
        bucket.refill(now, 0);
        bucket
    }

    /// Brings the bucket to `now`; `surplus` is the upper bound of surplus microtokens at the nodes.
    pub(super) fn refill(&mut self, now: MonotonicTime, surplus: u64) {
        if now <= self.updated_at {
            return;
        }
        let leases_end = self.takeover.predecessor_leases_end;
        if self.updated_at < leases_end {
            // Safety: until then the predecessor's surplus tokens, up to `surplus_limit`, may still
            // be spent beside this bucket's.
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

    /// Whole tokens that may be granted.
    pub(super) fn available_tokens(&self) -> u64 {
        self.available / MICROTOKENS_PER_TOKEN
    }

    /// Whole tokens by the optimistic count.
    pub(super) fn optimistic_tokens(&self) -> u64 {
        self.optimistic / MICROTOKENS_PER_TOKEN
    }

    /// Whole tokens that the rate yields in a time.
    pub(super) fn tokens_accrued(&self, time: Duration) -> u64 {
        self.accrued(time) / MICROTOKENS_PER_TOKEN
    }

    /// Whether nothing is missing.
    pub(super) fn is_full(&self) -> bool {
        self.available == self.burst
    }

    /// Takes tokens out for a node; at most [`Bucket::available_tokens`].
    pub(super) fn grant(&mut self, tokens: u64) {
        let microtokens = tokens * MICROTOKENS_PER_TOKEN;
        self.available = self.available.saturating_sub(microtokens);
        self.optimistic = self.optimistic.saturating_sub(microtokens);
    }

    /// Takes requests out of the optimistic count that are refused although it covers them.
    pub(super) fn deduct_refused(&mut self, requests: u64) {
        let microtokens = requests * MICROTOKENS_PER_TOKEN;
        self.optimistic = self.optimistic.saturating_sub(microtokens);
    }

    /// Puts surplus tokens back. They counted against the burst all the time, so all come back.
    pub(super) fn return_surplus(&mut self, tokens: u64, remaining_surplus: u64) {
        let microtokens = tokens * MICROTOKENS_PER_TOKEN;
        let capacity = self.burst.saturating_sub(remaining_surplus);
        self.available = (self.available + microtokens).min(capacity);
        self.add_optimistic(microtokens);
    }

    /// Puts tokens back that were granted for a waiting request `age` ago and not spent.
    ///
    /// They did not count against the burst meanwhile. A bucket that had never granted them would
    /// be fuller by at least their number less what was refilled since, so that much may come back
    /// without its ever containing more than such a bucket would.
    pub(super) fn return_requested(&mut self, tokens: u64, age: Duration, surplus: u64) {
        let microtokens = tokens * MICROTOKENS_PER_TOKEN;
        let returned = microtokens.saturating_sub(self.accrued(age));
        let capacity = self.burst.saturating_sub(surplus);
        self.available = (self.available + returned).min(capacity.max(self.available));
        self.add_optimistic(microtokens);
    }

    /// Counts tokens of unknown fate as unspent where it is decided whether to refuse.
    pub(super) fn add_uncertain(&mut self, tokens: u64) {
        self.add_optimistic(tokens * MICROTOKENS_PER_TOKEN);
    }

    /// Sets how many requests wait at the nodes.
    pub(super) fn set_waiting(&mut self, requests: u64) {
        self.waiting = requests * MICROTOKENS_PER_TOKEN;
    }

    /// Time until the next whole token may be granted.
    pub(super) fn until_next_token(&self, now: MonotonicTime) -> Duration {
        let until_grants = self.takeover.grants_from.since(now);
        let missing = MICROTOKENS_PER_TOKEN.saturating_sub(self.available % MICROTOKENS_PER_TOKEN);
        match missing.checked_div(self.rate) {
            Some(micros) => until_grants + Duration::from_micros(micros + 1),
            None => RETRY_WITHOUT_RATE,
        }
    }

    /// Switches to another quota. Tokens of a larger burst are there at once.
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

    /// An exact bucket never contains more than a burst beside the requests not yet taken out.
    /// Requests that were given up stop counting, or their number would stay in the count.
    fn limit_optimistic(&mut self) {
        self.optimistic = self.optimistic.min(self.burst + self.waiting);
    }

    fn add_optimistic(&mut self, microtokens: u64) {
        let limit = self.burst + self.waiting;
        let raised = self.optimistic.saturating_add(microtokens).min(limit);
        self.optimistic = self.optimistic.max(raised);
    }
}
