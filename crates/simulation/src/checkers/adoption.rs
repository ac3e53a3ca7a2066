//! An acknowledged revision governs every node connected within two seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::connectivity_table::ConnectivityTable;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::verdict::Verdict;
use crate::history::{OrderAnswer, ProxyNodeNumber, Record};
use crate::scenario::Figure;

const LIMIT: Duration = Duration::from_secs(2);

/// Follows the revision of each proxy node behind the acknowledged ones.
#[derive(Default)]
pub struct AdoptionChecker {
    connectivity: ConnectivityTable,
    /// Time of the first acknowledgement of each revision.
    acknowledged: BTreeMap<u64, MonotonicTime>,
    applied: BTreeMap<ProxyNodeNumber, u64>,
    reported: BTreeMap<ProxyNodeNumber, u64>,
}

impl Checker for AdoptionChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        // Before the record is applied: what was overdue under the connectivity until now.
        self.check_overdue(at, verdict);
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
                self.measure(at, *proxy_node, *revision, verdict);
                self.applied.insert(*proxy_node, *revision);
            }
            _ => {}
        }
    }
}

impl AdoptionChecker {
    // The first acknowledged revision that the proxy node does not show.
    fn behind(&self, proxy_node: ProxyNodeNumber) -> Option<(u64, MonotonicTime)> {
        // Who shows nothing serves nothing; how long that may last is the recovery's guarantee.
        let applied = self.applied.get(&proxy_node)?;
        let next = self.acknowledged.range(applied + 1..).next()?;
        Some((*next.0, *next.1))
    }

    fn waiting_since(&self, proxy_node: ProxyNodeNumber) -> Option<(u64, MonotonicTime)> {
        let (revision, acknowledged) = self.behind(proxy_node)?;
        let connectivity = self.connectivity.connected_since(proxy_node)?;
        Some((revision, acknowledged.max(connectivity)))
    }

    fn check_overdue(&mut self, at: MonotonicTime, verdict: &mut Verdict) {
        let proxy_nodes: Vec<ProxyNodeNumber> = self.connectivity.proxy_nodes().collect();
        for proxy_node in proxy_nodes {
            let Some((revision, since)) = self.waiting_since(proxy_node) else {
                continue;
            };
            let reported = self.reported.entry(proxy_node).or_default();
            if at.since(since) <= LIMIT || *reported >= revision {
                continue;
            }
            *reported = revision;
            let applied = self.applied.get(&proxy_node).copied().unwrap_or(0);
            let text =
                format!("{proxy_node:?} in touch shows {applied}, not {revision}, after 2 s");
            verdict.record_violation(at, Guarantee::Adoption, text);
        }
    }

    fn measure(
        &self,
        at: MonotonicTime,
        proxy_node: ProxyNodeNumber,
        revision: u64,
        verdict: &mut Verdict,
    ) {
        let Some((behind, since)) = self.waiting_since(proxy_node) else {
            return;
        };
        if revision >= behind {
            let millis = u64::try_from(at.since(since).as_millis()).unwrap_or(u64::MAX);
            verdict.figures.raise(Figure::Adoption, millis);
        }
    }
}
