//! Tokens of one tenant at the shard's leader.
//!
//! # Why the quota holds under one leader
//! Let L be the free tokens and the spare tokens at the nodes (an upper bound: a spare token counts
//! until it is returned or its lease has certainly ended). L never exceeds the burst, because
//! refilling stops there. Lending for a waiting request lowers L at that moment; spending a spare
//! token lowers the true value of L at that moment; a lease that ends lowers L without any
//! spending. Only time raises L, by the rate. So what is spent in a window is at most
//! L at its start and what the rate gave: burst + rate * window.
//!
//! A node's lease ends before the leader takes it to have ended: the node counts from when it sent
//! the ask, the leader from when it answered, and adds [`LEASE_MARGIN`] for unequal clocks.

use std::collections::BTreeMap;

use millford_api::config::Quota;
use millford_core::{Duration, MonotonicTime};

use super::bucket::{Bucket, MICRO, Takeover, spare_limit};
use super::member_slice::MemberSlice;
use super::options::QuotaOptions;

/// Added to a lease by the leader, for clocks that do not run equally fast.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(50);

/// Part of a node's demand in the previous lease time that it is lent beyond what it asks for.
const SPARE_DEMAND_DIVISOR: u64 = 4;
/// Part of the free tokens that one answer may lend as spare ones.
const SPARE_FREE_DIVISOR: u64 = 8;

/// A node's ask, as far as tokens go.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenAsk<'ask> {
    pub(super) member: &'ask str,
    pub(super) epoch: u64,
    pub(super) wanted: u64,
    /// Every request that waits at the node, those of its asks under way included.
    pub(super) waiting: u64,
    pub(super) returned: u64,
    /// How long the oldest waiting request has waited.
    pub(super) oldest_wait: Duration,
}

/// A node that was not heard of for longer than this may have kept requests waiting meanwhile.
const ORDINARY_GAP: Duration = Duration::from_millis(100);

/// How long after one node's return from an outage others of the same outage may still return.
pub(super) const OUTAGE_RETURN: Duration = Duration::from_millis(10_000);

/// Part of the queue that is given up with each refusal, so that no queue stands while the tenant
/// goes on to be over its quota.
const QUEUE_DRAIN_DIVISOR: u64 = 8;

/// A wait in which the rate gives more than this many bursts comes from an outage.
const LONG_WAIT_BURSTS: u64 = 2;

/// What the node gets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenAnswer {
    pub(super) tokens: u64,
    /// Requests that are refused; the other missing ones wait on.
    pub(super) refused: u64,
    pub(super) retry_after: Duration,
    /// Idle slices of other nodes are to be called back.
    pub(super) recall: bool,
}

/// Bucket and slices of one tenant.
#[derive(Clone, Debug)]
pub(super) struct TokenAccount {
    burst: u32,
    bucket: Bucket,
    slices: BTreeMap<String, MemberSlice>,
    outage: Option<OutageCredit>,
}

/// What the rate gave in an outage that some nodes return from, for the requests that waited there.
#[derive(Clone, Copy, Debug)]
struct OutageCredit {
    tokens: u64,
    until: MonotonicTime,
}

impl TokenAccount {
    /// The account of a tenant that holds nothing yet.
    pub(super) fn new(quota: &Quota, takeover: Takeover, now: MonotonicTime) -> Self {
        Self {
            burst: quota.burst,
            bucket: Bucket::new(quota, takeover, now),
            slices: BTreeMap::new(),
            outage: None,
        }
    }

    /// Takes back what is returned and lends what is wanted, as far as it is there.
    pub(super) fn ask(
        &mut self,
        now: MonotonicTime,
        ask: TokenAsk<'_>,
        options: &QuotaOptions,
    ) -> TokenAnswer {
        self.advance(now, options);
        self.take_back(now, ask);
        let unheard = self.unheard_wait(now, ask);
        self.note_outage(now, unheard);
        let asked = ask.wanted.min(self.bucket.lendable());
        self.bucket.lend(asked);
        self.bucket.doubt(self.earned_before(asked, unheard));
        let spare = if asked == ask.wanted && ask.wanted > 0 {
            self.spare_for(ask.member)
        } else {
            0
        };
        self.bucket.lend(spare);
        let slice = self.slice(now, ask);
        slice.note_demand(ask.wanted);
        slice.lend(now, asked, spare);
        let mut answer = TokenAnswer {
            tokens: asked + spare,
            ..TokenAnswer::default()
        };
        let missing = ask.wanted - asked;
        if missing > 0 {
            self.judge_missing(now, ask, missing, options, &mut answer);
        }
        let waiting = missing - answer.refused;
        // An ask names only what no ask before it named. What the others named still waits: were it
        // left out, the optimistic count would be cut to what is left, and the next ask for all of
        // them would be refused.
        let queued = ask.waiting.max(ask.wanted) - asked - answer.refused;
        self.slice(now, ask).set_waiting(waiting, queued);
        let all_queued = self.slices.values().map(MemberSlice::queued).sum();
        self.bucket.set_waiting(all_queued);
        answer
    }

    /// Members whose idle spare tokens are to be called back now, with their epochs.
    pub(super) fn recall(
        &mut self,
        now: MonotonicTime,
        again_after: Duration,
    ) -> Vec<super::slots::Holder> {
        let mut holders = Vec::new();
        for (member, slice) in &mut self.slices {
            if slice.is_idle_possible() && slice.recall(now, again_after) {
                holders.push(super::slots::Holder {
                    member: member.clone(),
                    epoch: slice.epoch,
                });
            }
        }
        holders
    }

    /// Brings the account to `now`: leases that ended, then the bucket.
    ///
    /// The bucket is refilled before slices are dropped, with the spare tokens that were out
    /// during that time.
    pub(super) fn advance(&mut self, now: MonotonicTime, options: &QuotaOptions) {
        let spare = self.spare();
        self.bucket.refill(now, spare);
        let lease = options.lease + LEASE_MARGIN;
        let mut unknown = 0;
        for slice in self.slices.values_mut() {
            unknown += slice.expire(now, lease);
        }
        self.bucket.doubt(unknown);
        self.slices.retain(|_, slice| !slice.is_empty());
        let queued = self.slices.values().map(MemberSlice::queued).sum();
        self.bucket.set_waiting(queued);
        if let Some(credit) = self.outage.take_if(|credit| credit.until <= now) {
            self.bucket.doubt(credit.tokens);
        }
    }

    /// Goes over to another quota.
    pub(super) fn change(&mut self, now: MonotonicTime, quota: &Quota, options: &QuotaOptions) {
        self.advance(now, options);
        let spare = self.spare();
        self.burst = quota.burst;
        self.bucket.change(quota, spare);
    }

    /// Whether a fresh account would be the same.
    pub(super) fn is_idle(&self) -> bool {
        self.slices.is_empty() && self.bucket.is_full()
    }

    fn take_back(&mut self, now: MonotonicTime, ask: TokenAsk<'_>) {
        let Some(slice) = self.slices.get_mut(ask.member) else {
            return;
        };
        if slice.epoch != ask.epoch {
            // Another process of the member: what the former one held is not returned by this one.
            return;
        }
        let returned = slice.take_back(now, ask.returned);
        slice.note_ask();
        for part in returned {
            let spare = self.spare();
            self.bucket.return_spare(part.spare, spare);
            self.bucket.return_asked(part.asked, part.age, spare);
        }
    }

    /// Nothing is refused while idle slices may come back, nor while tokens of unknown fate would
    /// do for it and for all that waits already.
    ///
    /// The optimistic count is never below what a single exact bucket would have, the waiting
    /// requests not yet taken out. For requests that waited where this leader could not hear of
    /// them that bucket would have gone on to earn, full or not, so that counts as well. A tenant
    /// under its quota therefore never has more waiting than both together, and is not refused.
    /// A tenant that has more is certainly over its quota: part of its queue goes too, because a
    /// queue that stands lets every later request wait its time away.
    fn judge_missing(
        &mut self,
        now: MonotonicTime,
        ask: TokenAsk<'_>,
        missing: u64,
        options: &QuotaOptions,
        answer: &mut TokenAnswer,
    ) {
        answer.retry_after = self.bucket.until_next(now);
        if self.slices.values().any(MemberSlice::is_idle_possible) {
            answer.recall = true;
            answer.retry_after = answer.retry_after.min(options.recall_wait);
            return;
        }
        let waiting = missing + self.waiting_elsewhere(ask.member);
        let earned = self.outage.map_or(0, |credit| credit.tokens);
        let allowed = self.bucket.optimistic_tokens() + earned;
        let excess = waiting.saturating_sub(allowed).min(missing);
        if excess == 0 {
            return;
        }
        let drained = match self.outage {
            Some(_) => 0,
            None => allowed.div_ceil(QUEUE_DRAIN_DIVISOR).min(missing - excess),
        };
        self.bucket.forgo(drained);
        answer.refused = excess + drained;
    }

    /// How long requests of the node may have waited without this leader's hearing of them.
    ///
    /// A returning node's asks may come in a row, the oldest first, so the silence before the first
    /// of them counts for a while.
    fn unheard_wait(&mut self, now: MonotonicTime, ask: TokenAsk<'_>) -> Duration {
        let silence = self.slice(now, ask).hear(now, ask.epoch);
        if silence.length <= ORDINARY_GAP {
            return Duration::ZERO;
        }
        let heard = now.since(silence.ended);
        ask.oldest_wait.saturating_sub(heard).min(silence.length)
    }

    /// Nodes that return from one outage share what was earned in it.
    fn note_outage(&mut self, now: MonotonicTime, unheard: Duration) {
        let tokens = self.bucket.tokens_earned(unheard);
        let known = self.outage.map_or(0, |credit| credit.tokens);
        if tokens > known {
            let until = now + OUTAGE_RETURN;
            self.outage = Some(OutageCredit { tokens, until });
        }
    }

    /// Of tokens lent after a long wait, how many an exact bucket would have given at once, and
    /// earned again since. They count only where it is judged whether to refuse others.
    ///
    /// Shorter waits come from the queue at this leader itself and must not keep it standing.
    fn earned_before(&self, lent: u64, waited: Duration) -> u64 {
        let earned = self.bucket.tokens_earned(waited);
        match earned > u64::from(self.burst) * LONG_WAIT_BURSTS {
            true => earned.min(lent),
            false => 0,
        }
    }

    fn waiting_elsewhere(&self, member: &str) -> u64 {
        let others = self.slices.iter().filter(|(name, _)| *name != member);
        others.map(|(_, slice)| slice.waiting()).sum()
    }

    /// Spare tokens follow the node's own demand, and only while the bucket is at least half full,
    /// so that near the limit nothing lies idle at the nodes.
    fn spare_for(&self, member: &str) -> u64 {
        let free = self.bucket.lendable();
        if free * 2 < u64::from(self.burst) {
            return 0;
        }
        let demand = self.slices.get(member).map_or(0, MemberSlice::demand);
        let room = spare_limit(self.burst).saturating_sub(self.spare() / MICRO);
        (demand / SPARE_DEMAND_DIVISOR)
            .min(free / SPARE_FREE_DIVISOR)
            .min(room)
    }

    /// Upper bound of spare tokens at the nodes, in millionths.
    fn spare(&self) -> u64 {
        let tokens: u64 = self.slices.values().map(MemberSlice::spare).sum();
        tokens * MICRO
    }

    fn slice(&mut self, now: MonotonicTime, ask: TokenAsk<'_>) -> &mut MemberSlice {
        self.slices
            .entry(ask.member.to_owned())
            .or_insert_with(|| MemberSlice::new(ask.epoch, now))
    }
}
