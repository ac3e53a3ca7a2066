//! Proposals of this leader that are not yet applied.

use std::collections::BTreeMap;

use super::input::CorrelationId;

/// Why a command was proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Somebody waits for the result.
    Request(CorrelationId),
    /// The leader's own: difference of the catalogue of a service.
    Catalogue(String),
    /// The leader's own: placement of a pool.
    Placement(String),
    /// The leader's own: removal of a dead control node, or an advance of the shard's clock.
    Maintenance,
    /// The leader's own: closing of an expired session.
    Expiry,
}

#[derive(Debug)]
struct PendingProposal {
    term: u64,
    purpose: Purpose,
}

/// Proposals by log index.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    pending: BTreeMap<u64, PendingProposal>,
}

impl Proposals {
    /// A command was appended at `index` under `term`.
    pub(super) fn insert(&mut self, index: u64, term: u64, purpose: Purpose) {
        self.pending
            .insert(index, PendingProposal { term, purpose });
    }

    /// The entry at `index` was applied. Names the purpose only if the entry is the one proposed:
    /// another term means that another leader's entry took its place.
    pub(super) fn take(&mut self, index: u64, term: u64) -> Option<Purpose> {
        let pending = self.pending.remove(&index)?;
        (pending.term == term).then_some(pending.purpose)
    }

    /// Leadership was lost: the fate of everything that waits is unknown here.
    pub(super) fn take_all(&mut self) -> Vec<Purpose> {
        let pending = std::mem::take(&mut self.pending);
        pending.into_values().map(|entry| entry.purpose).collect()
    }

    /// Whether a proposal with this purpose waits.
    pub(super) fn contains(&self, purpose: &Purpose) -> bool {
        self.pending.values().any(|entry| entry.purpose == *purpose)
    }
}
