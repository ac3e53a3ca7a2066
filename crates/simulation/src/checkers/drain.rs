//! A draining or vanished backend gets no new work after three seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::verdict::Verdict;
use crate::history::{BackendNumber, ProxyNodeNumber, Record};
use crate::scenario::Figure;

/// Time from the end of a backend's service to its last new work.
const LIMIT: Duration = Duration::from_secs(3);

/// Follows backends that are draining or unavailable.
#[derive(Default)]
pub struct DrainChecker {
    unavailable_since: BTreeMap<BackendNumber, MonotonicTime>,
    /// When a proxy node that was frozen or down ran again: it learns of it afterwards.
    resumed: BTreeMap<ProxyNodeNumber, MonotonicTime>,
}

impl Checker for DrainChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
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
                let millis = verdict.figures.raise_duration(Figure::Drain, late);
                if late > LIMIT {
                    let text = format!(
                        "{proxy_node:?} sent {attempt:?} to {backend:?} {millis} ms after it left"
                    );
                    verdict.record_violation(at, Guarantee::Drain, text);
                }
            }
            _ => {}
        }
    }
}
