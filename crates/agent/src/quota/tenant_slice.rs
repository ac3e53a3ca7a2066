//! One tenant's slice on this node.

use std::collections::VecDeque;

use millford_api::internal::{QuotaGrant, TenantQuotaRequest};
use millford_core::{Duration, MonotonicTime, ResultCode};

use crate::quota::ask_sent::AskSent;
use crate::quota::lease::TokenLease;
use crate::quota::slice_answer::SliceAnswer;
use crate::quota::slot_hold::SlotHold;
use crate::quota::waiter::Waiter;
use crate::timing::{LEASE_RETURN_BEFORE, QUOTA_RECALL_PAUSE, QUOTA_RETRY};

/// Time after the last ask for which the leader may take the node to hold something: a lease and
/// what a request may be under way.
const KEPT_AFTER_ASK: Duration = Duration::from_millis(2_000);

/// Tokens, stream slots and waiting calls of one tenant.
#[derive(Clone, Debug)]
pub struct TenantSlice {
    leases: Vec<TokenLease>,
    slots: SlotHold,
    waiters: VecDeque<Waiter>,
    /// Tokens asked for by requests that are not answered yet.
    outstanding: u32,
    /// Requests that are not answered yet.
    under_way: u32,
    /// Tokens to give back with the next request.
    to_return: u32,
    recalled: bool,
    ask_after: MonotonicTime,
}

impl TenantSlice {
    /// A slice that holds nothing.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            leases: Vec::new(),
            slots: SlotHold::new(now),
            waiters: VecDeque::new(),
            outstanding: 0,
            under_way: 0,
            to_return: 0,
            recalled: false,
            ask_after: now,
        }
    }

    /// Whether the slice holds nothing, and its leader knows that without being told.
    #[must_use]
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        if now.since(self.slots.told_at()) < KEPT_AFTER_ASK {
            return false;
        }
        let holds = !self.leases.is_empty() || self.slots.in_use() > 0 || self.to_return > 0;
        !holds && self.waiters.is_empty() && self.under_way == 0 && !self.recalled
    }

    /// Whether calls wait.
    #[must_use]
    pub fn has_waiters(&self) -> bool {
        !self.waiters.is_empty()
    }

    /// Stream slots in use now.
    #[must_use]
    pub fn slots_in_use(&self) -> u32 {
        self.slots.in_use()
    }

    /// A new connection of the proxy: its asks come again, and these streams are open.
    pub fn take_over(&mut self, streams: u32) {
        self.drop_waiting();
        self.slots.take_over(streams);
    }

    /// Nobody waits any longer.
    pub fn drop_waiting(&mut self) {
        self.waiters.clear();
    }

    /// Tokens that may be spent now.
    #[must_use]
    pub fn tokens(&self, now: MonotonicTime) -> u32 {
        let alive = self.leases.iter().filter(|lease| now < lease.until);
        alive.map(|lease| lease.tokens).sum()
    }

    /// A call wants to be admitted.
    pub fn enqueue(&mut self, waiter: Waiter) {
        self.waiters.push_back(waiter);
    }

    /// Admits every waiting call that the slice can pay for.
    pub fn serve(&mut self, now: MonotonicTime) -> Vec<SliceAnswer> {
        let mut answers = Vec::new();
        let mut still_waiting = VecDeque::new();
        while let Some(waiter) = self.waiters.pop_front() {
            match self.admit(now, &waiter) {
                Some(until) => answers.push(SliceAnswer::granted(&waiter, until)),
                None => still_waiting.push_back(waiter),
            }
        }
        self.waiters = still_waiting;
        answers
    }

    /// Until when the call may use its grant, if the slice can pay for it.
    fn admit(&mut self, now: MonotonicTime, waiter: &Waiter) -> Option<MonotonicTime> {
        if waiter.needs_slot && !self.slots.is_free(now) {
            return None;
        }
        let until = self.spend(now)?;
        if waiter.needs_slot {
            self.slots.take();
        }
        Some(until)
    }

    /// Spends one token of the lease that ends first; gives the end of that lease.
    fn spend(&mut self, now: MonotonicTime) -> Option<MonotonicTime> {
        let alive = self.leases.iter_mut();
        let first = alive
            .filter(|lease| now < lease.until && lease.tokens > 0)
            .min_by_key(|lease| lease.until);
        let lease = first?;
        lease.tokens -= 1;
        let until = lease.until;
        self.leases.retain(|lease| lease.tokens > 0);
        Some(until)
    }

    /// Refuses the calls whose time is over.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<SliceAnswer> {
        let mut answers = Vec::new();
        self.waiters.retain(|waiter| {
            let over = waiter.deadline <= now;
            if over {
                answers.push(SliceAnswer::to(waiter, ResultCode::QuotaUnavailable, 0));
            }
            !over
        });
        self.leases.retain(|lease| now < lease.until);
        answers
    }

    /// Earliest time at which a waiting call is given up.
    #[must_use]
    pub fn first_deadline(&self) -> Option<MonotonicTime> {
        self.waiters.iter().map(|waiter| waiter.deadline).min()
    }

    /// An admitted call ended, or was never sent (`unused`).
    pub fn release(&mut self, holds_slot: bool, unused: bool) {
        if holds_slot {
            self.slots.release();
        }
        self.to_return += u32::from(unused);
    }

    /// The leader wants back what is idle.
    pub fn recall(&mut self) {
        self.recalled = true;
    }

    /// Prepares idle tokens whose lease soon ends to be given back.
    pub fn return_old(&mut self, now: MonotonicTime) {
        let limit = now + LEASE_RETURN_BEFORE;
        let mut returned = 0;
        self.leases.retain(|lease| {
            let old = lease.until <= limit && now < lease.until;
            returned += if old { lease.tokens } else { 0 };
            !old
        });
        self.to_return += returned;
    }

    /// When the slice has something to ask or to say, if it has.
    #[must_use]
    pub fn due(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if self.recalled || self.to_return > 0 {
            return Some(now);
        }
        let missing = self.tokens_missing(now) > 0 || self.slots_missing(now);
        let ask = missing.then_some(self.ask_after);
        // Safety: a pause before asking again must not hold back the report of slots in use, from
        // which a new leader learns of the streams that began under its predecessor.
        [ask, self.slots.renewal()].into_iter().flatten().min()
    }

    /// Whether the slots in use are to be reported by `limit`.
    #[must_use]
    pub fn renews_by(&self, limit: MonotonicTime) -> bool {
        self.slots.renewal().is_some_and(|at| at <= limit)
    }

    fn tokens_missing(&self, now: MonotonicTime) -> u32 {
        let waiting = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        let coming = self.outstanding.saturating_add(self.tokens(now));
        waiting.saturating_sub(coming)
    }

    fn slots_missing(&self, now: MonotonicTime) -> bool {
        let waiting = self.slots_requested() > self.slots.in_use();
        waiting && self.under_way == 0 && !self.slots.is_free(now)
    }

    fn slots_requested(&self) -> u32 {
        let waiting = self.waiters.iter().filter(|waiter| waiter.needs_slot);
        self.slots.in_use() + u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// The ask to send now in request `request_id`. What it gives back is gone from here.
    pub fn ask(&mut self, now: MonotonicTime, tenant: &str, request_id: u64) -> TenantQuotaRequest {
        if self.recalled {
            self.to_return += self.tokens(now).saturating_sub(self.tokens_kept());
            self.drop_tokens(now);
            self.recalled = false;
        }
        let tokens = self.tokens_missing(now);
        self.outstanding += tokens;
        self.under_way += 1;
        let slots_requested = self.slots_requested();
        self.slots.asked(now, slots_requested, request_id);
        TenantQuotaRequest {
            tenant: tenant.to_owned(),
            tokens,
            returned_tokens: std::mem::take(&mut self.to_return),
            slots_requested,
            slots_in_use: self.slots.in_use(),
            oldest_wait_ms: self.oldest_wait_ms(now),
            waiting: u32::try_from(self.waiters.len()).unwrap_or(u32::MAX),
        }
    }

    fn oldest_wait_ms(&self, now: MonotonicTime) -> u32 {
        let waits = self.waiters.iter().map(|waiter| waiter.waited(now));
        let waited = waits.max().unwrap_or_default();
        u32::try_from(waited.as_millis()).unwrap_or(u32::MAX)
    }

    /// Tokens that waiting calls need although they are lent: those calls wait for a slot.
    fn tokens_kept(&self) -> u32 {
        u32::try_from(self.waiters.len()).unwrap_or(u32::MAX)
    }

    fn drop_tokens(&mut self, now: MonotonicTime) {
        let mut keep = self.tokens_kept();
        for lease in &mut self.leases {
            let kept = if now < lease.until {
                lease.tokens.min(keep)
            } else {
                0
            };
            lease.tokens = kept;
            keep -= kept;
        }
        self.leases.retain(|lease| lease.tokens > 0);
    }

    /// Takes the leader's answer to an ask that was sent at `sent_at`.
    pub fn granted(
        &mut self,
        now: MonotonicTime,
        sent: AskSent,
        ask: &TenantQuotaRequest,
        grant: &QuotaGrant,
    ) -> Vec<SliceAnswer> {
        self.answered(ask);
        // Safety: the lease counts from the sending, which is before the leader granted it, so it
        // ends here before the leader counts the tokens as returned.
        let until = sent.at + Duration::from_millis(u64::from(grant.lease_ms));
        if grant.tokens > 0 && now < until {
            let tokens = grant.tokens;
            self.leases.push(TokenLease { tokens, until });
        }
        self.slots.granted(now, grant.slots, until, sent.request_id);
        let pause = Duration::from_millis(u64::from(grant.retry_after_ms));
        self.ask_after = now + pause.max(QUOTA_RECALL_PAUSE);
        let mut answers = self.serve(now);
        if grant.refused {
            let missing = ask.tokens.saturating_sub(grant.tokens);
            let refused = grant.refused_tokens.min(missing);
            let code = ResultCode::QuotaExceeded;
            answers.extend(self.refuse(refused, code, grant.retry_after_ms, |_| true));
        }
        if grant.slots_refused {
            let missing = ask.slots_requested.saturating_sub(grant.slots);
            let code = ResultCode::StreamLimit;
            answers.extend(self.refuse(missing, code, grant.retry_after_ms, |waiter| {
                waiter.needs_slot
            }));
        }
        answers
    }

    /// An ask is given up: its answer would come too late to be used.
    pub fn lost(&mut self, ask: &TenantQuotaRequest) {
        self.answered(ask);
    }

    /// An ask was not processed: the next one waits a moment.
    pub fn unanswered(&mut self, now: MonotonicTime, ask: &TenantQuotaRequest) {
        self.answered(ask);
        self.ask_after = now + QUOTA_RETRY;
        self.slots.report_again(self.ask_after);
    }

    fn answered(&mut self, ask: &TenantQuotaRequest) {
        self.outstanding = self.outstanding.saturating_sub(ask.tokens);
        self.under_way = self.under_way.saturating_sub(1);
    }

    fn refuse(
        &mut self,
        count: u32,
        code: ResultCode,
        retry_after_ms: u32,
        concerns: impl Fn(&Waiter) -> bool,
    ) -> Vec<SliceAnswer> {
        let concerned = self
            .waiters
            .iter()
            .filter(|waiter| concerns(waiter))
            .count();
        let refused = usize::try_from(count).unwrap_or(usize::MAX);
        // The oldest ones have waited already: the newest are refused.
        let mut kept = concerned.saturating_sub(refused);
        let mut answers = Vec::new();
        self.waiters.retain(|waiter| {
            if !concerns(waiter) {
                return true;
            }
            if kept > 0 {
                kept -= 1;
                return true;
            }
            answers.push(SliceAnswer::to(waiter, code, retry_after_ms));
            false
        });
        answers
    }
}
