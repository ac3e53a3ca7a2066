//! Checks that every connected proxy node applies an acknowledged revision within two seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::connectivity_table::ConnectivityTable;
use crate::checkers::guarantee::Guarantee;
use crate::history::{OrderAnswer, ProxyNodeNumber, Record};
use crate::scenario::Figure;

/// Longest time from the acknowledgement of a revision until every connected proxy node routes by it.
const LIMIT: Duration = Duration::from_secs(2);

/// An acknowledged revision that a proxy node has not applied.
#[derive(Clone, Copy)]
struct PendingRevision {
    revision: u64,
    /// Time since which the revision is acknowledged and the proxy node is connected.
    since: MonotonicTime,
}

/// Compares the revision of each proxy node with the acknowledged revisions.
#[derive(Default)]
pub struct AdoptionChecker {
    connectivity: ConnectivityTable,
    /// Time of the first acknowledgement of each revision.
    acknowledged: BTreeMap<u64, MonotonicTime>,
    /// Revision that each proxy node routes by.
    applied: BTreeMap<ProxyNodeNumber, u64>,
    /// Highest revision whose late adoption was reported, by proxy node.
    reported: BTreeMap<ProxyNodeNumber, u64>,
}

impl Checker for AdoptionChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        // Checked before the record is applied, since the connectivity until now decides what is overdue.
        self.check_overdue(at, results);
        self.connectivity.observe(at, record);
        match record {
            Record::OrderAnswered {
                answer: OrderAnswer::Accepted { revision, .. },
                ..
            } => {
                self.acknowledged.entry(*revision).or_insert(at);
            }
            Record::ProxyNodeStarted { proxy_node } => {
                self.applied.remove(proxy_node);
            }
            Record::RevisionApplied {
                proxy_node,
                revision,
            } => {
                self.measure(at, *proxy_node, *revision, results);
                self.applied.insert(*proxy_node, *revision);
            }
            _ => {}
        }
    }
}

impl AdoptionChecker {
    /// Returns the first acknowledged revision that a connected proxy node has not applied.
    fn pending(&self, proxy_node: ProxyNodeNumber) -> Option<PendingRevision> {
        // A proxy node without a revision serves no request; the recovery checker limits that time.
        let applied = self.applied.get(&proxy_node)?;
        let (revision, acknowledged) = self.acknowledged.range(applied + 1..).next()?;
        let connected = self.connectivity.connected_since(proxy_node)?;
        Some(PendingRevision {
            revision: *revision,
            since: connected.max(*acknowledged),
        })
    }

    fn check_overdue(&mut self, at: MonotonicTime, results: &mut CheckResults) {
        let proxy_nodes: Vec<ProxyNodeNumber> = self.connectivity.proxy_nodes().collect();
        for proxy_node in proxy_nodes {
            let Some(PendingRevision { revision, since }) = self.pending(proxy_node) else {
                continue;
            };
            let reported = self.reported.entry(proxy_node).or_default();
            if at.since(since) <= LIMIT || *reported >= revision {
                continue;
            }
            *reported = revision;
            let applied = self.applied.get(&proxy_node).copied().unwrap_or(0);
            let text = format!(
                "{proxy_node:?} is connected but still routes by revision {applied}, 2 s after \
                 revision {revision} was acknowledged"
            );
            results.record_violation(at, Guarantee::Adoption, text);
        }
    }

    fn measure(
        &self,
        at: MonotonicTime,
        proxy_node: ProxyNodeNumber,
        revision: u64,
        results: &mut CheckResults,
    ) {
        let Some(pending) = self.pending(proxy_node) else {
            return;
        };
        if revision >= pending.revision {
            results
                .figures
                .raise_duration(Figure::Adoption, at.since(pending.since));
        }
    }
}
