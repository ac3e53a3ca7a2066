//! Quota requests under way to the shards' leaders.

use std::collections::BTreeMap;

use millford_api::internal::QuotaRequest;
use millford_core::MonotonicTime;

use crate::timing::{QUOTA_GIVE_UP, QUOTA_RESEND, QUOTA_RETRY};

/// A request and its times.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// What was sent.
    pub request: QuotaRequest,
    /// When it was first sent; leases count from here.
    pub sent_at: MonotonicTime,
    resend_at: MonotonicTime,
}

impl SentRequest {
    /// The request as it reads when it is sent again.
    fn aged(&self, now: MonotonicTime) -> QuotaRequest {
        let age = now.since(self.sent_at).as_millis();
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        let mut request = self.request.clone();
        for ask in request.tenants.iter_mut().filter(|ask| ask.waiting > 0) {
            ask.oldest_wait_ms = ask.oldest_wait_ms.saturating_add(age);
        }
        request
    }
}

/// Requests without an answer. They are sent again only with the same id, which the leader answers
/// with the same grant: tokens given back in one are gone and must not be counted twice.
#[derive(Clone, Debug, Default)]
pub struct RequestBook {
    requests: BTreeMap<u64, SentRequest>,
}

impl RequestBook {
    /// Notes a request that is sent now.
    pub fn sent(&mut self, now: MonotonicTime, request: QuotaRequest) {
        let entry = SentRequest {
            sent_at: now,
            resend_at: now + QUOTA_RESEND,
            request,
        };
        self.requests.insert(entry.request.request_id, entry);
    }

    /// The request that an answer belongs to, now done.
    pub fn take(&mut self, request_id: u64) -> Option<SentRequest> {
        self.requests.remove(&request_id)
    }

    /// Whether a request gives tokens back.
    #[must_use]
    pub fn returns_tokens(&self, request_id: u64) -> bool {
        let entry = self.requests.get(&request_id);
        let mut asks = entry.into_iter().flat_map(|entry| &entry.request.tenants);
        asks.any(|ask| ask.returned_tokens > 0)
    }

    /// The leader could not answer: the request is sent again soon.
    pub fn postpone(&mut self, now: MonotonicTime, request_id: u64) {
        if let Some(entry) = self.requests.get_mut(&request_id) {
            entry.resend_at = now + QUOTA_RETRY;
        }
    }

    /// A new connection: everything under way may be lost.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for entry in self.requests.values_mut() {
            entry.resend_at = now;
        }
    }

    /// Requests to send again now, with what their calls have waited by now: a leader that hears of them
    /// only now refuses nobody for what the rate gave meanwhile.
    pub fn due(&mut self, now: MonotonicTime) -> Vec<QuotaRequest> {
        let due = self.requests.values_mut();
        due.filter(|entry| entry.resend_at <= now)
            .map(|entry| {
                entry.resend_at = now + QUOTA_RESEND;
                entry.aged(now)
            })
            .collect()
    }

    /// Requests that are given up now.
    pub fn given_up(&mut self, now: MonotonicTime) -> Vec<SentRequest> {
        let requests = self.requests.iter();
        let old: Vec<u64> = requests
            .filter(|(_, entry)| now.since(entry.sent_at) >= QUOTA_GIVE_UP)
            .map(|(id, _)| *id)
            .collect();
        old.into_iter().filter_map(|id| self.take(id)).collect()
    }

    /// Every request, all given up: the session they name is gone.
    pub fn take_all(&mut self) -> Vec<SentRequest> {
        std::mem::take(&mut self.requests).into_values().collect()
    }
}
