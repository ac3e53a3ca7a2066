//! One request's share in the counts of a replica.

use std::sync::Arc;

use crate::load_table::{LoadTable, ReplicaCounts};
use crate::replica_key::ReplicaKey;

/// What a request is counted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Prefill,
    Decode,
    Held,
}

/// Counts one request until it is dropped, on whatever path the request ends.
#[derive(Debug)]
pub struct InFlightGuard {
    board: Arc<LoadTable>,
    key: ReplicaKey,
    uncached_tokens: u64,
    phase: Phase,
}

impl InFlightGuard {
    pub(crate) fn new(board: Arc<LoadTable>, key: ReplicaKey, uncached_tokens: u64) -> Self {
        Self {
            board,
            key,
            uncached_tokens,
            phase: Phase::Prefill,
        }
    }

    /// The replica that the request is counted on.
    #[must_use]
    pub fn key(&self) -> &ReplicaKey {
        &self.key
    }

    /// The first piece came: from prefill to decode.
    pub fn first_piece(&mut self) {
        self.move_to(Phase::Decode);
    }

    /// The backend drains while the request is still open.
    pub fn held(&mut self) {
        self.move_to(Phase::Held);
    }

    fn move_to(&mut self, phase: Phase) {
        if self.phase == phase {
            return;
        }
        let (tokens, before) = (self.uncached_tokens, self.phase);
        self.board.change_own(&self.key, |counts| {
            remove(counts, before, tokens);
            add(counts, phase, tokens);
        });
        self.phase = phase;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let (tokens, phase) = (self.uncached_tokens, self.phase);
        self.board
            .change_own(&self.key, |counts| remove(counts, phase, tokens));
    }
}

fn add(counts: &mut ReplicaCounts, phase: Phase, tokens: u64) {
    match phase {
        Phase::Prefill => counts.prefill_tokens += tokens,
        Phase::Decode => counts.decode_streams += 1,
        Phase::Held => counts.held_requests += 1,
    }
}

fn remove(counts: &mut ReplicaCounts, phase: Phase, tokens: u64) {
    match phase {
        Phase::Prefill => counts.prefill_tokens = counts.prefill_tokens.saturating_sub(tokens),
        Phase::Decode => counts.decode_streams = counts.decode_streams.saturating_sub(1),
        Phase::Held => counts.held_requests = counts.held_requests.saturating_sub(1),
    }
}
