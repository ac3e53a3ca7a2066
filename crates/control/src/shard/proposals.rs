//! Proposals of this leader that are not yet applied.

use std::collections::BTreeMap;

use super::input::Ticket;

/// Why a command was proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Somebody waits for the result.
    Request(Ticket),
    /// The leader's own: difference of the catalogue of a service.
    Catalogue(String),
    /// The leader's own: placement of a pool.
    Placement(String),
    /// The leader's own: removal of a dead control node, or an advance of the shard's clock.
    Upkeep,
    /// The leader's own: closing of an expired session.
    Expiry,
}

#[derive(Debug)]
struct Waiting {
    term: u64,
    purpose: Purpose,
}

/// Proposals by log index.
#[derive(Debug, Default)]
pub struct Proposals {
    waiting: BTreeMap<u64, Waiting>,
}

impl Proposals {
    /// A command was appended at `index` under `term`.
    pub fn insert(&mut self, index: u64, term: u64, purpose: Purpose) {
        self.waiting.insert(index, Waiting { term, purpose });
    }

    /// The entry at `index` was applied. Names the purpose only if the entry is the one proposed:
    /// another term means that another leader's entry took its place.
    pub fn take(&mut self, index: u64, term: u64) -> Option<Purpose> {
        let waiting = self.waiting.remove(&index)?;
        (waiting.term == term).then_some(waiting.purpose)
    }

    /// Leadership was lost: the fate of everything that waits is unknown here.
    pub fn take_all(&mut self) -> Vec<Purpose> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|entry| entry.purpose).collect()
    }

    /// Whether a proposal with this purpose waits.
    #[must_use]
    pub fn contains(&self, purpose: &Purpose) -> bool {
        self.waiting.values().any(|entry| entry.purpose == *purpose)
    }
}
