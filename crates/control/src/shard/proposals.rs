//! Proposals of this leader that are not applied yet.

use std::collections::BTreeMap;

use super::input::CorrelationId;

/// The purpose of a proposed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A request whose requester waits for the result.
    Request(CorrelationId),
    /// Update of the catalogue of the named service, proposed by the leader.
    Catalogue(String),
    /// Placement of the named pool, proposed by the leader.
    Placement(String),
    /// Removal of an unresponsive control node, or an advance of the shard's clock, proposed by the
    /// leader.
    Maintenance,
    /// Closing of an expired session, proposed by the leader.
    Expiry,
}

#[derive(Debug)]
struct PendingProposal {
    term: u64,
    purpose: Purpose,
}

/// Pending proposals by log index.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    pending: BTreeMap<u64, PendingProposal>,
}

impl Proposals {
    /// Records a command appended at `index` in `term`.
    pub(super) fn insert(&mut self, index: u64, term: u64, purpose: Purpose) {
        self.pending
            .insert(index, PendingProposal { term, purpose });
    }

    /// Removes the proposal at `index` when the entry there is applied. Returns its purpose only if
    /// the entry is the one proposed: a different term means that the entry of another leader
    /// replaced it.
    pub(super) fn take(&mut self, index: u64, term: u64) -> Option<Purpose> {
        let pending = self.pending.remove(&index)?;
        (pending.term == term).then_some(pending.purpose)
    }

    /// Removes all proposals after leadership was lost. Whether they will be committed is unknown
    /// to this replica.
    pub(super) fn take_all(&mut self) -> Vec<Purpose> {
        let pending = std::mem::take(&mut self.pending);
        pending.into_values().map(|entry| entry.purpose).collect()
    }

    /// Whether a proposal with this purpose is pending.
    pub(super) fn contains(&self, purpose: &Purpose) -> bool {
        self.pending.values().any(|entry| entry.purpose == *purpose)
    }
}
