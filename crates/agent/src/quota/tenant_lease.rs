//! One tenant's quota on this node.

use std::collections::VecDeque;

use millford_api::internal::{QuotaGrant, TenantQuotaRequest};
use millford_core::{Duration, MonotonicTime, ResultCode};

use crate::quota::in_flight_requests::InFlightRequest;
use crate::quota::quota_decision::QuotaDecision;
use crate::quota::slot_reservation::SlotReservation;
use crate::quota::token_lease::TokenLease;
use crate::quota::waiter::Waiter;
use crate::timing::{LEASE_RETURN_MARGIN, MIN_QUOTA_REQUEST_INTERVAL, QUOTA_RETRY_DELAY};

/// Time after the last request for which the leader may count something as granted to the node: a
/// lease, and the longest time that a request may be in flight.
const LEADER_RETENTION: Duration = Duration::from_secs(2);

/// Tokens, stream slots and waiters of one tenant.
#[derive(Clone, Debug)]
pub struct TenantLease {
    token_leases: Vec<TokenLease>,
    slots: SlotReservation,
    /// In order of arrival.
    waiters: VecDeque<Waiter>,
    /// Tokens that the requests in flight ask for.
    requested_tokens: u32,
    /// Number of requests in flight.
    in_flight: u32,
    /// Tokens to return with the next request.
    tokens_to_return: u32,
    recalled: bool,
    /// Earliest time to request more.
    next_request_at: MonotonicTime,
}

impl TenantLease {
    /// Nothing granted, nobody waiting.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            token_leases: Vec::new(),
            slots: SlotReservation::new(now),
            waiters: VecDeque::new(),
            requested_tokens: 0,
            in_flight: 0,
            tokens_to_return: 0,
            recalled: false,
            next_request_at: now,
        }
    }

    /// Whether nothing is granted or waits, and the leader knows that without a report.
    #[must_use]
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        if now.since(self.slots.reported_at()) < LEADER_RETENTION {
            return false;
        }
        let is_empty =
            self.token_leases.is_empty() && self.slots.in_use() == 0 && self.tokens_to_return == 0;
        is_empty && self.waiters.is_empty() && self.in_flight == 0 && !self.recalled
    }

    /// Stream slots in use now.
    #[must_use]
    pub fn slots_in_use(&self) -> u32 {
        self.slots.in_use()
    }

    /// A new connection of the proxy: its quota requests come again, and these streams are open.
    pub fn reconcile_streams(&mut self, open_streams: u32) {
        self.cancel_waiting();
        self.slots.reconcile(open_streams);
    }

    /// Nobody waits for an answer any longer.
    pub fn cancel_waiting(&mut self) {
        self.waiters.clear();
    }

    /// Tokens that may be spent now.
    #[must_use]
    pub fn tokens(&self, now: MonotonicTime) -> u32 {
        let valid = self.token_leases.iter();
        let valid = valid.filter(|lease| now < lease.expires_at);
        valid.map(|lease| lease.tokens).sum()
    }

    /// Adds a quota request of the proxy.
    pub fn enqueue(&mut self, waiter: Waiter) {
        self.waiters.push_back(waiter);
    }

    /// Grants every waiter that the tokens and slots suffice for, in order of arrival.
    pub fn serve(&mut self, now: MonotonicTime) -> Vec<QuotaDecision> {
        let mut decisions = Vec::new();
        let mut still_waiting = VecDeque::new();
        while let Some(waiter) = self.waiters.pop_front() {
            match self.admit(now, &waiter) {
                Some(expires_at) => decisions.push(QuotaDecision::granted(&waiter, expires_at)),
                None => still_waiting.push_back(waiter),
            }
        }
        self.waiters = still_waiting;
        decisions
    }

    /// Takes a token, and a slot where one is needed; returns until when the grant may be used.
    fn admit(&mut self, now: MonotonicTime, waiter: &Waiter) -> Option<MonotonicTime> {
        if waiter.needs_slot && !self.slots.has_free_slot(now) {
            return None;
        }
        let expires_at = self.spend_token(now)?;
        if waiter.needs_slot {
            self.slots.acquire();
        }
        Some(expires_at)
    }

    /// Spends one token of the lease that ends first; returns the end of that lease.
    fn spend_token(&mut self, now: MonotonicTime) -> Option<MonotonicTime> {
        let valid = self.token_leases.iter_mut();
        let first = valid
            .filter(|lease| now < lease.expires_at && lease.tokens > 0)
            .min_by_key(|lease| lease.expires_at);
        let lease = first?;
        lease.tokens -= 1;
        let expires_at = lease.expires_at;
        self.token_leases.retain(|lease| lease.tokens > 0);
        Some(expires_at)
    }

    /// Refuses the waiters whose deadline has passed, and drops expired tokens.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<QuotaDecision> {
        let mut decisions = Vec::new();
        self.waiters.retain(|waiter| {
            let is_overdue = waiter.deadline <= now;
            if is_overdue {
                let code = ResultCode::QuotaUnavailable;
                decisions.push(QuotaDecision::refused(waiter, code, 0));
            }
            !is_overdue
        });
        self.token_leases.retain(|lease| now < lease.expires_at);
        decisions
    }

    /// Earliest deadline of a waiter.
    #[must_use]
    pub fn first_deadline(&self) -> Option<MonotonicTime> {
        self.waiters.iter().map(|waiter| waiter.deadline).min()
    }

    /// A stream that holds a slot ended.
    pub fn release_slot(&mut self) {
        self.slots.release();
    }

    /// A granted request was never sent: its token goes back.
    pub fn return_token(&mut self) {
        self.tokens_to_return += 1;
    }

    /// The leader wants back what is idle.
    pub fn recall(&mut self) {
        self.recalled = true;
    }

    /// Prepares idle tokens whose lease soon ends to be returned.
    pub fn return_expiring(&mut self, now: MonotonicTime) {
        let limit = now + LEASE_RETURN_MARGIN;
        let mut returned = 0;
        self.token_leases.retain(|lease| {
            let is_expiring = lease.expires_at <= limit && now < lease.expires_at;
            returned += if is_expiring { lease.tokens } else { 0 };
            !is_expiring
        });
        self.tokens_to_return += returned;
    }

    /// When there is something to request or to report, if there is.
    #[must_use]
    pub fn due(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if self.recalled || self.tokens_to_return > 0 {
            return Some(now);
        }
        let needs_more = self.missing_tokens(now) > 0 || self.needs_slots(now);
        let request_due = needs_more.then_some(self.next_request_at);
        // Safety: a backoff before the next request must not delay the report of slots in use, from
        // which a new leader learns of the streams that began under its predecessor.
        [request_due, self.slots.renewal_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether the slots in use are to be reported by `limit`.
    #[must_use]
    pub fn is_renewal_due_by(&self, limit: MonotonicTime) -> bool {
        self.slots.renewal_due().is_some_and(|at| at <= limit)
    }

    /// Tokens that waiters need beyond those granted and requested.
    fn missing_tokens(&self, now: MonotonicTime) -> u32 {
        let expected = self.requested_tokens.saturating_add(self.tokens(now));
        self.waiter_count().saturating_sub(expected)
    }

    /// Whether waiters need slots that no request in flight asks for.
    fn needs_slots(&self, now: MonotonicTime) -> bool {
        let has_demand = self.slots_needed() > self.slots.in_use();
        has_demand && self.in_flight == 0 && !self.slots.has_free_slot(now)
    }

    /// Slots in use and needed by waiters.
    fn slots_needed(&self) -> u32 {
        let waiting = self.waiters.iter().filter(|waiter| waiter.needs_slot);
        self.slots.in_use() + u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// The request to send now under `request_id`. The tokens that it returns are no longer here.
    pub fn next_request(
        &mut self,
        now: MonotonicTime,
        tenant: &str,
        request_id: u64,
    ) -> TenantQuotaRequest {
        if self.recalled {
            self.tokens_to_return += self.tokens(now).saturating_sub(self.reserved_tokens());
            self.drop_idle_tokens(now);
            self.recalled = false;
        }
        let tokens = self.missing_tokens(now);
        self.requested_tokens += tokens;
        self.in_flight += 1;
        let slots_requested = self.slots_needed();
        self.slots.record_request(now, slots_requested, request_id);
        TenantQuotaRequest {
            tenant: tenant.to_owned(),
            tokens,
            returned_tokens: std::mem::take(&mut self.tokens_to_return),
            slots_requested,
            slots_in_use: self.slots.in_use(),
            oldest_wait_ms: self.oldest_wait_ms(now),
            waiting: self.waiter_count(),
        }
    }

    fn oldest_wait_ms(&self, now: MonotonicTime) -> u32 {
        let waits = self.waiters.iter().map(|waiter| waiter.waited(now));
        let longest = waits.max().unwrap_or_default();
        u32::try_from(longest.as_millis()).unwrap_or(u32::MAX)
    }

    fn waiter_count(&self) -> u32 {
        u32::try_from(self.waiters.len()).unwrap_or(u32::MAX)
    }

    /// Granted tokens that waiters will spend: whoever waits although there are tokens waits for a
    /// slot.
    fn reserved_tokens(&self) -> u32 {
        self.waiter_count()
    }

    fn drop_idle_tokens(&mut self, now: MonotonicTime) {
        let mut reserved = self.reserved_tokens();
        for lease in &mut self.token_leases {
            let retained = if now < lease.expires_at {
                lease.tokens.min(reserved)
            } else {
                0
            };
            lease.tokens = retained;
            reserved -= retained;
        }
        self.token_leases.retain(|lease| lease.tokens > 0);
    }

    /// Takes the leader's `grant` for `request`, which was part of the request `sent`.
    pub fn take_grant(
        &mut self,
        now: MonotonicTime,
        sent: &InFlightRequest,
        request: &TenantQuotaRequest,
        grant: &QuotaGrant,
    ) -> Vec<QuotaDecision> {
        self.record_answered(request);
        // Safety: the lease counts from the sending, which is before the leader granted it, so it
        // ends here before the leader counts the tokens as returned.
        let expires_at = sent.sent_at + Duration::from_millis(u64::from(grant.lease_ms));
        if grant.tokens > 0 && now < expires_at {
            let tokens = grant.tokens;
            self.token_leases.push(TokenLease { tokens, expires_at });
        }
        let request_id = sent.request.request_id;
        self.slots
            .record_grant(now, grant.slots, expires_at, request_id);
        let retry_after = Duration::from_millis(u64::from(grant.retry_after_ms));
        self.next_request_at = now + retry_after.max(MIN_QUOTA_REQUEST_INTERVAL);
        let mut decisions = self.serve(now);
        if grant.refused {
            let missing = request.tokens.saturating_sub(grant.tokens);
            let refused = grant.refused_tokens.min(missing);
            let code = ResultCode::QuotaExceeded;
            decisions.extend(self.refuse(refused, code, grant.retry_after_ms, |_| true));
        }
        if grant.slots_refused {
            let missing = request.slots_requested.saturating_sub(grant.slots);
            let code = ResultCode::StreamLimit;
            decisions.extend(self.refuse(missing, code, grant.retry_after_ms, |waiter| {
                waiter.needs_slot
            }));
        }
        decisions
    }

    /// A request is given up: its answer would come too late to be used.
    pub fn abandon_request(&mut self, request: &TenantQuotaRequest) {
        self.record_answered(request);
    }

    /// A request was not processed: the next one is sent after a delay.
    pub fn retry_request(&mut self, now: MonotonicTime, request: &TenantQuotaRequest) {
        self.record_answered(request);
        self.next_request_at = now + QUOTA_RETRY_DELAY;
        self.slots.schedule_report(self.next_request_at);
    }

    fn record_answered(&mut self, request: &TenantQuotaRequest) {
        self.requested_tokens = self.requested_tokens.saturating_sub(request.tokens);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Refuses up to `count` of the waiters that `is_concerned` selects.
    fn refuse(
        &mut self,
        count: u32,
        code: ResultCode,
        retry_after_ms: u32,
        is_concerned: impl Fn(&Waiter) -> bool,
    ) -> Vec<QuotaDecision> {
        let concerned = self
            .waiters
            .iter()
            .filter(|waiter| is_concerned(waiter))
            .count();
        let refused = usize::try_from(count).unwrap_or(usize::MAX);
        // The oldest ones have waited already: the newest are refused.
        let mut spared = concerned.saturating_sub(refused);
        let mut decisions = Vec::new();
        self.waiters.retain(|waiter| {
            if !is_concerned(waiter) {
                return true;
            }
            if spared > 0 {
                spared -= 1;
                return true;
            }
            decisions.push(QuotaDecision::refused(waiter, code, retry_after_ms));
            false
        });
        decisions
    }
}
