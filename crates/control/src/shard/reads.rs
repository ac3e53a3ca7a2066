//! Reads that wait for confirmation by a quorum and for the replica to apply the confirmed index.

use std::collections::BTreeMap;

use super::input::CorrelationId;
use crate::link::LinkId;

/// The purpose of a read, carried out once the read is confirmed and its index applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadPurpose {
    /// Reply with public items.
    State {
        /// Correlation id of the request.
        correlation_id: CorrelationId,
        /// Prefix of the keys to return.
        prefix: String,
        /// Whether to add the source of the configuration document, as the operator sent it.
        with_source: bool,
    },
    /// Reply with the confirmed index itself.
    Index {
        /// Correlation id of the request.
        correlation_id: CorrelationId,
    },
    /// Reply with the shard's status.
    Status {
        /// Correlation id of the request.
        correlation_id: CorrelationId,
    },
    /// Open an agent's feed.
    Subscribe {
        /// The agent's link.
        subscriber: LinkId,
    },
}

/// A read that is not served yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PendingRead {
    /// The purpose of the read.
    pub(super) purpose: ReadPurpose,
    /// The confirmed index to be applied first; absent until the read is confirmed.
    pub(super) index: Option<u64>,
}

/// Pending reads by number.
#[derive(Debug, Default)]
pub(super) struct Reads {
    last_number: u64,
    pending: BTreeMap<u64, PendingRead>,
}

impl Reads {
    /// Adds a read and returns its number.
    pub(super) fn start(&mut self, purpose: ReadPurpose) -> u64 {
        self.last_number += 1;
        let read = PendingRead {
            purpose,
            index: None,
        };
        self.pending.insert(self.last_number, read);
        self.last_number
    }

    /// Records that a read is confirmed: it may be served once `index` is applied.
    pub(super) fn confirmed(&mut self, number: u64, index: u64) {
        if let Some(read) = self.pending.get_mut(&number) {
            read.index = Some(index);
        }
    }

    /// Removes a read that could not be confirmed.
    pub(super) fn take(&mut self, number: u64) -> Option<PendingRead> {
        self.pending.remove(&number)
    }

    /// Removes the confirmed reads whose index is applied, in order of their numbers.
    pub(super) fn take_ready(&mut self, applied: u64) -> Vec<PendingRead> {
        let is_ready = |read: &PendingRead| read.index.is_some_and(|index| index <= applied);
        self.take_where(is_ready)
    }

    /// Removes the unconfirmed reads.
    pub(super) fn take_unconfirmed(&mut self) -> Vec<PendingRead> {
        self.take_where(|read| read.index.is_none())
    }

    /// Removes the reads of one subscriber.
    pub(super) fn forget_subscriber(&mut self, subscriber: LinkId) {
        let purpose = ReadPurpose::Subscribe { subscriber };
        self.pending.retain(|_, read| read.purpose != purpose);
    }

    /// Whether a subscriber's read is confirmed and only waits for this replica to catch up.
    pub(super) fn is_confirmed_for(&self, subscriber: LinkId) -> bool {
        let purpose = ReadPurpose::Subscribe { subscriber };
        let mut reads = self.pending.values();
        reads.any(|read| read.index.is_some() && read.purpose == purpose)
    }

    fn take_where(&mut self, chosen: impl Fn(&PendingRead) -> bool) -> Vec<PendingRead> {
        let numbers: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, read)| chosen(read))
            .map(|(number, _)| *number)
            .collect();
        numbers
            .into_iter()
            .filter_map(|number| self.pending.remove(&number))
            .collect()
    }
}
