//! Counts of one replica's work in flight, and when they are reported.

use millford_api::internal::{CostSample, ReplicaLoad};

use crate::replica_key::ReplicaKey;

/// Most cost samples kept per replica between two reports.
const MAX_SAMPLES_PER_REPORT: usize = 64;

/// Unchanged work in flight is reported again after this many reports without it: the placement role
/// forgets counts that are not refreshed for five seconds. Four reports a second make this three.
const REFRESH_AFTER_REPORTS: u32 = 12;

/// Counts of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Prompt tokens sent and not yet answered by a first chunk.
    pub prefill_tokens: u64,
    /// Streams past their first chunk.
    pub decode_streams: u32,
    /// Requests that are still open while the backend drains.
    pub held_requests: u32,
}

impl ReplicaCounts {
    /// Whether nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }

    /// Sums, bounded: the other nodes' counts come from the network and may be anything.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            decode_streams: self.decode_streams.saturating_add(other.decode_streams),
            held_requests: self.held_requests.saturating_add(other.held_requests),
        }
    }

    /// Differences, at least 0.
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

/// What the load table knows of one replica.
#[derive(Debug, Default)]
pub(crate) struct ReplicaEntry {
    /// This node's work in flight.
    pub(crate) own: ReplicaCounts,
    /// This node's work in flight as it was reported last.
    pub(crate) reported: ReplicaCounts,
    /// Work in flight of all other nodes.
    pub(crate) others: ReplicaCounts,
    samples: Vec<CostSample>,
    failures: u32,
    /// Reports since the last one that held this replica.
    reports_skipped: u32,
}

impl ReplicaEntry {
    /// Work in flight of all nodes together.
    pub(crate) fn all_nodes(&self) -> ReplicaCounts {
        self.own.saturating_add(self.others)
    }

    /// Whether the entry holds anything that must be remembered.
    pub(crate) fn is_in_use(&self) -> bool {
        !(self.own.is_idle() && self.reported.is_idle() && self.others.is_idle())
    }

    /// Adds a cost sample to the next report, unless that holds enough.
    pub(crate) fn add_sample(&mut self, sample: CostSample) {
        if self.samples.len() < MAX_SAMPLES_PER_REPORT {
            self.samples.push(sample);
        }
    }

    /// Counts a failed request for the next report.
    pub(crate) fn add_failure(&mut self) {
        self.failures += 1;
    }

    /// The replica's part of the next report, if anything changed since its last one or it is due again.
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
