//! Checks that a draining or unavailable backend gets no new request after three seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::history::{BackendNumber, ProxyNodeNumber, Record};
use crate::scenario::Figure;

/// Longest time from the draining or failure of a backend to the last request sent to it.
const LIMIT: Duration = Duration::from_secs(3);

/// Checks each send against the time since which its backend is unavailable.
#[derive(Default)]
pub struct DrainChecker {
    /// Time since which a backend is draining or unavailable.
    unavailable_since: BTreeMap<BackendNumber, MonotonicTime>,
    /// Time at which a proxy node last resumed or started. It can notice the change only after that, so the
    /// limit counts from there.
    resumed: BTreeMap<ProxyNodeNumber, MonotonicTime>,
}

impl Checker for DrainChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        match record {
            Record::BackendUnavailable { backend } => {
                self.unavailable_since.entry(*backend).or_insert(at);
            }
            Record::BackendAvailable { backend } => {
                self.unavailable_since.remove(backend);
            }
            Record::ProxyNodeResumed { proxy_node } => {
                self.resumed.insert(*proxy_node, at);
            }
            Record::Dispatched {
                backend,
                proxy_node,
                attempt,
                ..
            } => {
                let Some(since) = self.unavailable_since.get(backend) else {
                    return;
                };
                let resumed = self.resumed.get(proxy_node).copied().unwrap_or_default();
                let late = at.since((*since).max(resumed));
                let millis = results.figures.raise_duration(Figure::Drain, late);
                if late > LIMIT {
                    let text = format!(
                        "{proxy_node:?} sent {attempt:?} to {backend:?} {millis} ms after it became unavailable"
                    );
                    results.record_violation(at, Guarantee::Drain, text);
                }
            }
            _ => {}
        }
    }
}
