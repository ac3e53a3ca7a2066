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

/// Time after the last request during which the leader may still count tokens or slots as granted
/// to this node: the duration of a lease plus the longest time that a request may be in flight.
const LEADER_RETENTION: Duration = Duration::from_secs(2);

/// Tokens, stream slots and waiting requests of one tenant.
#[derive(Clone, Debug)]
pub struct TenantLease {
    token_leases: Vec<TokenLease>,
    slots: SlotReservation,
    /// Requests that wait for quota, in order of arrival.
    waiters: VecDeque<Waiter>,
    /// Number of tokens that the requests in flight ask for.
    requested_tokens: u32,
    /// Number of requests in flight.
    in_flight: u32,
    /// Number of tokens to return with the next request.
    tokens_to_return: u32,
    /// Whether the leader has recalled idle tokens since the last request.
    recalled: bool,
    /// Earliest time of the next request for more quota.
    next_request_at: MonotonicTime,
}

impl TenantLease {
    /// Creates a lease with nothing granted and no waiting requests.
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

    /// Returns whether nothing is granted, waiting or in flight, and the leader no longer counts
    /// anything as granted to this node, so that the lease can be removed without a report.
    #[must_use]
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        if now.since(self.slots.reported_at()) < LEADER_RETENTION {
            return false;
        }
        let is_empty =
            self.token_leases.is_empty() && self.slots.in_use() == 0 && self.tokens_to_return == 0;
        is_empty && self.waiters.is_empty() && self.in_flight == 0 && !self.recalled
    }

    /// Returns the number of stream slots in use.
    #[must_use]
    pub fn slots_in_use(&self) -> u32 {
        self.slots.in_use()
    }

    /// Drops the waiting requests and replaces the number of open streams, after the proxy has
    /// reconnected. The proxy sends its quota requests again.
    pub fn reconcile_streams(&mut self, open_streams: u32) {
        self.cancel_waiting();
        self.slots.reconcile(open_streams);
    }

    /// Drops all waiting requests without a reply.
    pub fn cancel_waiting(&mut self) {
        self.waiters.clear();
    }

    /// Returns the number of tokens that may be spent now.
    #[must_use]
    pub fn tokens(&self, now: MonotonicTime) -> u32 {
        let valid = self.token_leases.iter();
        let valid = valid.filter(|lease| now < lease.expires_at);
        valid.map(|lease| lease.tokens).sum()
    }

    /// Adds a quota request from the proxy.
    pub fn enqueue(&mut self, waiter: Waiter) {
        self.waiters.push_back(waiter);
    }

    /// Grants waiting requests in order of arrival, skipping those for which no token or slot is
    /// available.
    pub fn grant_waiters(&mut self, now: MonotonicTime) -> Vec<QuotaDecision> {
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

    /// Takes a token, and a slot if one is needed. Returns when the grant expires, or `None` if
    /// there is no free token or slot.
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

    /// Spends one token of the lease that expires first. Returns the end of that lease, or `None`
    /// if there is no token.
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

    /// Refuses waiting requests whose deadline has passed, and drops expired tokens.
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

    /// Returns the earliest deadline of a waiting request.
    #[must_use]
    pub fn first_deadline(&self) -> Option<MonotonicTime> {
        self.waiters.iter().map(|waiter| waiter.deadline).min()
    }

    /// Frees the slot of a stream that has ended.
    pub fn release_slot(&mut self) {
        self.slots.release();
    }

    /// Schedules the return of the token of a granted request that was never sent to a backend.
    pub fn return_token(&mut self) {
        self.tokens_to_return += 1;
    }

    /// Schedules the return of idle tokens, which the leader has recalled.
    pub fn recall(&mut self) {
        self.recalled = true;
    }

    /// Schedules the return of idle tokens whose lease ends within [`LEASE_RETURN_MARGIN`].
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

    /// Returns when the next request to the leader is due, or `None` if there is nothing to
    /// request, return or report; the time may have passed already.
    #[must_use]
    pub fn next_request_due(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if self.recalled || self.tokens_to_return > 0 {
            return Some(now);
        }
        let needs_more = self.missing_tokens(now) > 0 || self.needs_slots(now);
        let request_due = needs_more.then_some(self.next_request_at);
        // Safety: a backoff before the next request must not delay the report of slots in use, by
        // which a new leader counts the streams that started under its predecessor.
        [request_due, self.slots.renewal_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns whether a report of slots in use is due by `limit`.
    #[must_use]
    pub fn is_renewal_due_by(&self, limit: MonotonicTime) -> bool {
        self.slots.renewal_due().is_some_and(|at| at <= limit)
    }

    /// Returns the number of tokens that waiting requests need beyond those granted and requested.
    fn missing_tokens(&self, now: MonotonicTime) -> u32 {
        let expected = self.requested_tokens.saturating_add(self.tokens(now));
        self.waiter_count().saturating_sub(expected)
    }

    /// Returns whether waiting requests need slots that no request in flight asks for.
    fn needs_slots(&self, now: MonotonicTime) -> bool {
        let has_demand = self.slots_needed() > self.slots.in_use();
        has_demand && self.in_flight == 0 && !self.slots.has_free_slot(now)
    }

    /// Returns the number of slots in use plus those that waiting requests need.
    fn slots_needed(&self) -> u32 {
        let waiting = self.waiters.iter().filter(|waiter| waiter.needs_slot);
        self.slots.in_use() + u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Builds the request to send now with id `request_id`. The tokens that it returns are removed
    /// from this lease.
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

    /// Returns the number of granted tokens that are kept for waiting requests. A request that
    /// waits although tokens are available is waiting for a slot.
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

    /// Applies the leader's `grant` for `request`, which was part of the request `sent`, and
    /// returns the decisions that it allows.
    pub fn apply_grant(
        &mut self,
        now: MonotonicTime,
        sent: &InFlightRequest,
        request: &TenantQuotaRequest,
        grant: &QuotaGrant,
    ) -> Vec<QuotaDecision> {
        self.record_answered(request);
        // Safety: the lease starts when the request was sent, which is before the leader granted
        // it, so it expires here before the leader counts the tokens as returned.
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
        let mut decisions = self.grant_waiters(now);
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

    /// Removes a request from those in flight, because its reply would arrive too late to be used.
    pub fn abandon_request(&mut self, request: &TenantQuotaRequest) {
        self.record_answered(request);
    }

    /// Delays the next request after the leader did not process `request`.
    pub fn retry_request(&mut self, now: MonotonicTime, request: &TenantQuotaRequest) {
        self.record_answered(request);
        self.next_request_at = now + QUOTA_RETRY_DELAY;
        self.slots.schedule_report(self.next_request_at);
    }

    fn record_answered(&mut self, request: &TenantQuotaRequest) {
        self.requested_tokens = self.requested_tokens.saturating_sub(request.tokens);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Refuses up to `count` of the waiting requests that `is_eligible` selects.
    fn refuse(
        &mut self,
        count: u32,
        code: ResultCode,
        retry_after_ms: u32,
        is_eligible: impl Fn(&Waiter) -> bool,
    ) -> Vec<QuotaDecision> {
        let eligible = self
            .waiters
            .iter()
            .filter(|waiter| is_eligible(waiter))
            .count();
        let refused = usize::try_from(count).unwrap_or(usize::MAX);
        // The oldest requests have waited longest and are kept; the newest are refused.
        let mut kept = eligible.saturating_sub(refused);
        let mut decisions = Vec::new();
        self.waiters.retain(|waiter| {
            if !is_eligible(waiter) {
                return true;
            }
            if kept > 0 {
                kept -= 1;
                return true;
            }
            decisions.push(QuotaDecision::refused(waiter, code, retry_after_ms));
            false
        });
        decisions
    }
}
