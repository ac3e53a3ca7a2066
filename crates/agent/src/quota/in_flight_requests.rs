//! Unanswered quota requests to the shards' leaders.

use std::collections::BTreeMap;

use millford_api::internal::QuotaRequest;
use millford_core::MonotonicTime;

use crate::timing::{QUOTA_REQUEST_TIMEOUT, QUOTA_RESEND_INTERVAL, QUOTA_RETRY_DELAY};

/// An unanswered request with its send times.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// The request as it was first sent.
    pub request: QuotaRequest,
    /// Time at which the request was first sent, which is the start of the leases it is granted.
    pub sent_at: MonotonicTime,
    resend_at: MonotonicTime,
}

impl InFlightRequest {
    /// Returns the request to send again, with waiting times increased by its age.
    fn updated(&self, now: MonotonicTime) -> QuotaRequest {
        let age = now.since(self.sent_at).as_millis();
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        let mut request = self.request.clone();
        for tenant in request
            .tenants
            .iter_mut()
            .filter(|tenant| tenant.waiting > 0)
        {
            tenant.oldest_wait_ms = tenant.oldest_wait_ms.saturating_add(age);
        }
        request
    }
}

/// Unanswered requests by id.
///
/// A request is always sent again with the same id, to which the leader replies with the same
/// grant. Tokens that it returns are no longer held by this node and must not be counted twice.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests {
    requests: BTreeMap<u64, InFlightRequest>,
}

impl InFlightRequests {
    /// Adds a request that is being sent now.
    pub fn record_sent(&mut self, now: MonotonicTime, request: QuotaRequest) {
        let entry = InFlightRequest {
            sent_at: now,
            resend_at: now + QUOTA_RESEND_INTERVAL,
            request,
        };
        self.requests.insert(entry.request.request_id, entry);
    }

    /// Removes and returns a request by its id.
    pub fn take(&mut self, request_id: u64) -> Option<InFlightRequest> {
        self.requests.remove(&request_id)
    }

    /// Returns whether a request returns tokens; `false` if the id is unknown.
    #[must_use]
    pub fn returns_tokens(&self, request_id: u64) -> bool {
        let entry = self.requests.get(&request_id);
        let mut tenants = entry.into_iter().flat_map(|entry| &entry.request.tenants);
        tenants.any(|tenant| tenant.returned_tokens > 0)
    }

    /// Schedules sending a request again after [`QUOTA_RETRY_DELAY`], after a reply with an error
    /// code.
    pub fn postpone(&mut self, now: MonotonicTime, request_id: u64) {
        if let Some(entry) = self.requests.get_mut(&request_id) {
            entry.resend_at = now + QUOTA_RETRY_DELAY;
        }
    }

    /// Makes every request due again on a new connection, since those in flight may be lost.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for entry in self.requests.values_mut() {
            entry.resend_at = now;
        }
    }

    /// Returns the requests to send again now, with current waiting times. By these, a leader that
    /// has not received a request before credits the tenant with the tokens that the rate has
    /// provided in the meantime; otherwise it could refuse requests for lack of those tokens.
    pub fn due_requests(&mut self, now: MonotonicTime) -> Vec<QuotaRequest> {
        let due = self.requests.values_mut();
        due.filter(|entry| entry.resend_at <= now)
            .map(|entry| {
                entry.resend_at = now + QUOTA_RESEND_INTERVAL;
                entry.updated(now)
            })
            .collect()
    }

    /// Removes and returns the requests that have timed out.
    pub fn take_timed_out(&mut self, now: MonotonicTime) -> Vec<InFlightRequest> {
        let requests = self.requests.iter();
        let timed_out: Vec<u64> = requests
            .filter(|(_, entry)| now.since(entry.sent_at) >= QUOTA_REQUEST_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        timed_out
            .into_iter()
            .filter_map(|id| self.take(id))
            .collect()
    }

    /// Removes and returns every request, for example after the session that they belong to was
    /// closed.
    pub fn take_all(&mut self) -> Vec<InFlightRequest> {
        std::mem::take(&mut self.requests).into_values().collect()
    }
}
