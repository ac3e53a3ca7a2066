//! Work in flight on one replica.

use millford_api::internal::ReplicaLoad;

/// Counts of the work that the nodes have in flight on one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaWork {
    /// Prompt tokens of requests that were sent and have not returned a first token.
    pub prefill_tokens: u64,
    /// Streams that have returned their first token.
    pub decode_streams: u32,
    /// Requests held open while the backend drains.
    pub held_requests: u32,
    /// Failures since the last report.
    pub failures: u32,
}

impl ReplicaWork {
    /// Whether no work is in flight. Failures are not considered.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.prefill_tokens == 0 && self.decode_streams == 0 && self.held_requests == 0
    }

    /// Adds another node's counts.
    pub fn add(&mut self, other: &ReplicaWork) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.decode_streams = self.decode_streams.saturating_add(other.decode_streams);
        self.held_requests = self.held_requests.saturating_add(other.held_requests);
        self.failures = self.failures.saturating_add(other.failures);
    }
}

impl From<&ReplicaLoad> for ReplicaWork {
    fn from(load: &ReplicaLoad) -> Self {
        Self {
            prefill_tokens: load.prefill_tokens,
            decode_streams: load.decode_streams,
            held_requests: load.held_requests,
            failures: load.failures,
        }
    }
}
