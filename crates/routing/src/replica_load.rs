//! Work in flight on one replica, and the reports of it.

use millford_api::internal::{CostSample, ReplicaLoad};

use crate::replica_key::ReplicaKey;

/// Largest number of cost samples kept per replica between two reports; further ones are dropped.
const MAX_SAMPLES_PER_REPORT: usize = 64;

/// Number of reports after which unchanged work in flight is repeated. The placement role discards
/// counts that are not refreshed for five seconds; at four reports a second this value repeats them
/// every three seconds.
const REFRESH_AFTER_REPORTS: u32 = 12;

/// Work in flight on one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Uncached prompt tokens of requests that have not received a first chunk.
    pub prefill_tokens: u64,
    /// Streams past their first chunk.
    pub decode_streams: u32,
    /// Requests that are still open while the backend drains.
    pub held_requests: u32,
}

impl ReplicaCounts {
    /// Returns whether nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the counts without overflow: the other nodes' counts come from the network and can have any
    /// value.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            decode_streams: self.decode_streams.saturating_add(other.decode_streams),
            held_requests: self.held_requests.saturating_add(other.held_requests),
        }
    }

    /// Subtracts each count, with 0 as the lower bound.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            decode_streams: self.decode_streams.saturating_sub(other.decode_streams),
            held_requests: self.held_requests.saturating_sub(other.held_requests),
        }
    }
}

impl From<&ReplicaLoad> for ReplicaCounts {
    fn from(load: &ReplicaLoad) -> Self {
        Self {
            prefill_tokens: load.prefill_tokens,
            decode_streams: load.decode_streams,
            held_requests: load.held_requests,
        }
    }
}

/// Entry of one replica in the load table.
#[derive(Debug, Default)]
pub(crate) struct ReplicaEntry {
    /// This node's work in flight.
    pub(crate) own: ReplicaCounts,
    /// This node's work in flight at its last report.
    pub(crate) reported: ReplicaCounts,
    /// Work in flight of all other nodes.
    pub(crate) others: ReplicaCounts,
    samples: Vec<CostSample>,
    failures: u32,
    /// Number of reports since the last one that included this replica.
    reports_skipped: u32,
}

impl ReplicaEntry {
    /// Returns the work in flight of all nodes.
    pub(crate) fn all_nodes(&self) -> ReplicaCounts {
        self.own.saturating_add(self.others)
    }

    /// Returns whether the entry must be kept: it has counts, or its last report did.
    pub(crate) fn is_in_use(&self) -> bool {
        !(self.own.is_idle() && self.reported.is_idle() && self.others.is_idle())
    }

    /// Adds a cost sample to the next report unless that already has [`MAX_SAMPLES_PER_REPORT`].
    pub(crate) fn add_sample(&mut self, sample: CostSample) {
        if self.samples.len() < MAX_SAMPLES_PER_REPORT {
            self.samples.push(sample);
        }
    }

    /// Counts a failed request for the next report.
    pub(crate) fn add_failure(&mut self) {
        self.failures += 1;
    }

    /// Takes the replica's part of the next report. Returns `None` if nothing changed since the last one
    /// and no repetition is due.
    pub(crate) fn take_report(&mut self, key: &ReplicaKey) -> Option<ReplicaLoad> {
        let unchanged = self.own == self.reported;
        if unchanged && self.samples.is_empty() && self.failures == 0 {
            self.reports_skipped += 1;
            if self.own.is_idle() || self.reports_skipped < REFRESH_AFTER_REPORTS {
                return None;
            }
        }
        self.reports_skipped = 0;
        self.reported = self.own;
        Some(ReplicaLoad {
            backend_id: key.backend_id.clone(),
            model: key.model.clone(),
            version: key.version.clone(),
            prefill_tokens: self.own.prefill_tokens,
            decode_streams: self.own.decode_streams,
            held_requests: self.own.held_requests,
            samples: std::mem::take(&mut self.samples),
            failures: std::mem::take(&mut self.failures),
        })
    }
}
