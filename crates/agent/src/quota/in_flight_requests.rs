//! Quota requests to the shards' leaders that are not answered yet.

use std::collections::BTreeMap;

use millford_api::internal::QuotaRequest;
use millford_core::MonotonicTime;

use crate::timing::{QUOTA_REQUEST_TIMEOUT, QUOTA_RESEND_INTERVAL, QUOTA_RETRY_DELAY};

/// A request and its times.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// What was sent.
    pub request: QuotaRequest,
    /// When it was first sent; leases count from here.
    pub sent_at: MonotonicTime,
    resend_at: MonotonicTime,
}

impl InFlightRequest {
    /// The request as it reads when it is sent again: waiting times have grown since.
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

/// Requests without an answer, by id.
///
/// They are sent again only with the same id, which the leader answers with the same grant: tokens
/// returned in one have left this node and must not be counted twice.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests {
    requests: BTreeMap<u64, InFlightRequest>,
}

impl InFlightRequests {
    /// Adds a request that is sent now.
    pub fn record_sent(&mut self, now: MonotonicTime, request: QuotaRequest) {
        let entry = InFlightRequest {
            sent_at: now,
            resend_at: now + QUOTA_RESEND_INTERVAL,
            request,
        };
        self.requests.insert(entry.request.request_id, entry);
    }

    /// Removes the request that an answer belongs to.
    pub fn take(&mut self, request_id: u64) -> Option<InFlightRequest> {
        self.requests.remove(&request_id)
    }

    /// Whether a request returns tokens.
    #[must_use]
    pub fn returns_tokens(&self, request_id: u64) -> bool {
        let entry = self.requests.get(&request_id);
        let mut tenants = entry.into_iter().flat_map(|entry| &entry.request.tenants);
        tenants.any(|tenant| tenant.returned_tokens > 0)
    }

    /// The leader could not answer: the request is sent again soon.
    pub fn postpone(&mut self, now: MonotonicTime, request_id: u64) {
        if let Some(entry) = self.requests.get_mut(&request_id) {
            entry.resend_at = now + QUOTA_RETRY_DELAY;
        }
    }

    /// A new connection: every request in flight may be lost and is due again.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for entry in self.requests.values_mut() {
            entry.resend_at = now;
        }
    }

    /// Requests to send again now, with what their waiters have waited by now: a leader that receives
    /// them only now refuses nobody for what the rate gave meanwhile.
    pub fn due(&mut self, now: MonotonicTime) -> Vec<QuotaRequest> {
        let due = self.requests.values_mut();
        due.filter(|entry| entry.resend_at <= now)
            .map(|entry| {
                entry.resend_at = now + QUOTA_RESEND_INTERVAL;
                entry.updated(now)
            })
            .collect()
    }

    /// Removes the requests that time out now.
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

    /// Removes every request, for instance when the session that they name was closed.
    pub fn take_all(&mut self) -> Vec<InFlightRequest> {
        std::mem::take(&mut self.requests).into_values().collect()
    }
}
