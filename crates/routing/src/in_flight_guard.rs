//! One request's share in the counts of a replica.

use std::sync::Arc;

use crate::load_table::LoadTable;
use crate::replica_key::ReplicaKey;
use crate::replica_load::ReplicaCounts;

/// What a request is counted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The backend reads its prompt.
    Prefill,
    /// The backend streams its response.
    Decode,
    /// It is still open while the backend drains.
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

/// Counts one request as in flight until it is dropped, on whatever path the request ends.
#[derive(Debug)]
pub struct InFlightGuard {
    table: Arc<LoadTable>,
    key: ReplicaKey,
    uncached_tokens: u64,
    phase: Phase,
}

// Here and not beside the rest of the table, so that the table need not know its guards.
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
    /// The replica that the request is counted on.
    #[must_use]
    pub fn key(&self) -> &ReplicaKey {
        &self.key
    }

    /// The first chunk came: from prefill to decode.
    pub fn begin_decode(&mut self) {
        self.move_to(Phase::Decode);
    }

    /// The backend drains while the request is still open.
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
