//! Guard that counts one request as in flight on a replica.

use std::sync::Arc;

use crate::load_table::LoadTable;
use crate::replica_key::ReplicaKey;
use crate::replica_load::ReplicaCounts;

/// Counter of [`ReplicaCounts`] that includes the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The backend processes the prompt and has sent no chunk yet.
    Prefill,
    /// The backend streams the response.
    Decode,
    /// The request is still open while the backend drains.
    Draining,
}

impl Phase {
    fn add(self, counts: &mut ReplicaCounts, tokens: u64) {
        match self {
            Phase::Prefill => counts.prefill_tokens += tokens,
            Phase::Decode => counts.decode_streams += 1,
            Phase::Draining => counts.held_requests += 1,
        }
    }

    fn remove(self, counts: &mut ReplicaCounts, tokens: u64) {
        match self {
            Phase::Prefill => counts.prefill_tokens = counts.prefill_tokens.saturating_sub(tokens),
            Phase::Decode => counts.decode_streams = counts.decode_streams.saturating_sub(1),
            Phase::Draining => counts.held_requests = counts.held_requests.saturating_sub(1),
        }
    }
}

/// Counts one request as in flight until the guard is dropped, however the request ends.
#[derive(Debug)]
pub struct InFlightGuard {
    table: Arc<LoadTable>,
    key: ReplicaKey,
    uncached_tokens: u64,
    phase: Phase,
}

// This method is here rather than in `load_table` so that the table does not depend on its guards.
impl LoadTable {
    /// Counts a request with this many uncached prompt tokens until the guard is dropped.
    #[must_use]
    pub fn start(self: &Arc<Self>, key: ReplicaKey, uncached_tokens: u64) -> InFlightGuard {
        let phase = Phase::Prefill;
        self.change_own(&key, |own| phase.add(own, uncached_tokens));
        InFlightGuard {
            table: Arc::clone(self),
            key,
            uncached_tokens,
            phase,
        }
    }
}

impl InFlightGuard {
    /// Returns the replica on which the request is counted.
    #[must_use]
    pub fn key(&self) -> &ReplicaKey {
        &self.key
    }

    /// Counts the request as decoding. Called at the first chunk.
    pub fn begin_decode(&mut self) {
        self.move_to(Phase::Decode);
    }

    /// Counts the request as held by a draining backend. Called when the backend starts to drain.
    pub fn begin_draining(&mut self) {
        self.move_to(Phase::Draining);
    }

    fn move_to(&mut self, phase: Phase) {
        if self.phase == phase {
            return;
        }
        let (tokens, before) = (self.uncached_tokens, self.phase);
        self.table.change_own(&self.key, |counts| {
            before.remove(counts, tokens);
            phase.add(counts, tokens);
        });
        self.phase = phase;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let (tokens, phase) = (self.uncached_tokens, self.phase);
        self.table
            .change_own(&self.key, |counts| phase.remove(counts, tokens));
    }
}
