//! Token bucket of one tenant, kept twice: what may be lent, and what is certainly used up.

use millford_api::config::Quota;
use millford_core::{Duration, MonotonicTime};

/// Millionths of a token in one token. With microseconds, rates stay whole numbers.
pub(super) const MICRO: u64 = 1_000_000;

/// Longest time without a leader for which the requests that came meanwhile are not refused.
const LONGEST_VACANCY: Duration = Duration::from_secs(5);

/// When a leader may lend, and when its buckets may be full.
///
/// A new leader does not know what its predecessor lent. From `start` on the predecessor lends
/// nothing more, so buckets refill from nothing from there on. Until `full_after` the
/// predecessor's spare tokens, at most half of a burst, may still be spent; until then a bucket
/// holds at most the other half.
#[derive(Clone, Copy, Debug)]
pub(super) struct Takeover {
    pub(super) start: MonotonicTime,
    pub(super) full_after: MonotonicTime,
    /// From then on the predecessor's unknown lending no longer keeps the leader from refusing. A
    /// tenant is wronged by that only if it used its whole rate from `start` until then.
    pub(super) doubt_ends: MonotonicTime,
}

/// Largest part of a burst that may be lent as spare tokens at any time, in whole tokens.
pub(super) fn spare_limit(burst: u32) -> u64 {
    u64::from(burst) / 2
}

/// Bucket in millionths of a token.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    rate: u64,
    burst: u64,
    spare_limit: u64,
    takeover: Takeover,
    updated: MonotonicTime,
    /// May be lent. `free` and the spare tokens at the nodes together are never more than `burst`.
    free: u64,
    /// At least as much as would be there if every token whose fate is unknown had not been spent,
    /// and nothing had been taken out yet for the requests that wait.
    optimistic: u64,
    /// Requests that wait. A bucket that had served them when they came would have refilled since,
    /// so the optimistic count may exceed the burst by their number.
    waiting: u64,
}

impl Bucket {
    /// The bucket of a tenant that has not been seen since the leader's takeover, at `now`.
    pub(super) fn new(quota: &Quota, takeover: Takeover, now: MonotonicTime) -> Self {
        let burst = u64::from(quota.burst) * MICRO;
        let rate = u64::from(quota.requests_per_second);
        let mut bucket = Self {
            rate,
            burst,
            spare_limit: spare_limit(quota.burst) * MICRO,
            takeover,
            updated: takeover.start,
            free: 0,
            optimistic: burst,
            waiting: 0,
        };
        if now < takeover.full_after {
            // Requests that came while there was no leader wait in the nodes.
            bucket.optimistic += bucket.earned(LONGEST_VACANCY);
        }
        bucket.refill(now, 0);
        bucket
    }

    /// Brings the bucket to `now`; `spare` is the upper bound of spare tokens at the nodes.
    pub(super) fn refill(&mut self, now: MonotonicTime, spare: u64) {
        if now <= self.updated {
            return;
        }
        let turn = self.takeover.full_after;
        if self.updated < turn {
            let until = now.min(turn);
            let cap = self.burst - self.spare_limit;
            self.add_time(until, cap, spare);
        }
        let ends = self.takeover.doubt_ends;
        let doubt_ends_now = self.updated < ends && ends <= now;
        self.add_time(now, self.burst, spare);
        if doubt_ends_now {
            self.optimistic = self.optimistic.min(self.free + spare);
        }
        if now >= turn {
            self.cut_optimistic();
        }
    }

    /// Whole tokens that may be lent.
    pub(super) fn lendable(&self) -> u64 {
        self.free / MICRO
    }

    /// Whole tokens by the optimistic count.
    pub(super) fn optimistic_tokens(&self) -> u64 {
        self.optimistic / MICRO
    }

    /// Whole tokens that the rate gives in a time.
    pub(super) fn tokens_earned(&self, time: Duration) -> u64 {
        self.earned(time) / MICRO
    }

    /// Whether nothing is missing.
    pub(super) fn is_full(&self) -> bool {
        self.free == self.burst
    }

    /// Takes tokens out for a node; at most [`Bucket::lendable`].
    pub(super) fn lend(&mut self, tokens: u64) {
        self.free = self.free.saturating_sub(tokens * MICRO);
        self.optimistic = self.optimistic.saturating_sub(tokens * MICRO);
    }

    /// Takes requests out of the optimistic count that are refused although it would do for them.
    pub(super) fn forgo(&mut self, requests: u64) {
        self.optimistic = self.optimistic.saturating_sub(requests * MICRO);
    }

    /// Puts spare tokens back. They counted against the burst all the time, so all come back.
    pub(super) fn return_spare(&mut self, tokens: u64, spare_left: u64) {
        let room = self.burst.saturating_sub(spare_left);
        self.free = (self.free + tokens * MICRO).min(room);
        self.add_optimistic(tokens * MICRO);
    }

    /// Puts tokens back that were lent for a waiting request `age` ago and not spent.
    ///
    /// They did not count against the burst meanwhile. A bucket that had never lent them would be
    /// fuller by at least their number less what was refilled since, so that much may come back
    /// without its ever holding more than such a bucket would.
    pub(super) fn return_asked(&mut self, tokens: u64, age: Duration, spare: u64) {
        let back = (tokens * MICRO).saturating_sub(self.earned(age));
        let room = self.burst.saturating_sub(spare);
        self.free = (self.free + back).min(room.max(self.free));
        self.add_optimistic(tokens * MICRO);
    }

    /// Counts tokens of unknown fate as unspent where it is judged whether to refuse.
    pub(super) fn doubt(&mut self, tokens: u64) {
        self.add_optimistic(tokens * MICRO);
    }

    /// Notes how many requests wait at the nodes.
    pub(super) fn set_waiting(&mut self, requests: u64) {
        self.waiting = requests * MICRO;
    }

    /// Time until the next whole token may be lent.
    pub(super) fn until_next(&self, now: MonotonicTime) -> Duration {
        let wait = self.takeover.start.since(now);
        let missing = MICRO.saturating_sub(self.free % MICRO);
        match missing.checked_div(self.rate) {
            Some(micros) => wait + Duration::from_micros(micros + 1),
            None => Duration::from_secs(60),
        }
    }

    /// Goes over to another quota. Tokens of a larger burst are there at once.
    pub(super) fn change(&mut self, quota: &Quota, spare: u64) {
        let burst = u64::from(quota.burst) * MICRO;
        let more = burst.saturating_sub(self.burst);
        self.rate = u64::from(quota.requests_per_second);
        self.burst = burst;
        self.spare_limit = spare_limit(quota.burst) * MICRO;
        self.free = (self.free + more).min(burst.saturating_sub(spare));
        self.optimistic = (self.optimistic + more).min(burst + self.waiting);
    }

    fn add_time(&mut self, until: MonotonicTime, cap: u64, spare: u64) {
        if until <= self.updated {
            return;
        }
        let earned = self.earned(until.since(self.updated));
        let room = cap.saturating_sub(spare);
        self.free = (self.free + earned).min(room.max(self.free));
        self.add_optimistic(earned);
        self.updated = until;
    }

    fn earned(&self, time: Duration) -> u64 {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.rate.saturating_mul(micros)
    }

    /// An exact bucket never holds more than a burst beside the requests not yet taken out.
    /// Requests that were given up stop to count, or their number would stay in the count.
    fn cut_optimistic(&mut self) {
        self.optimistic = self.optimistic.min(self.burst + self.waiting);
    }

    fn add_optimistic(&mut self, micro_tokens: u64) {
        let cap = self.burst + self.waiting;
        let more = self.optimistic.saturating_add(micro_tokens).min(cap);
        self.optimistic = self.optimistic.max(more);
    }
}
