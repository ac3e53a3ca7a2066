//! A draining or vanished backend gets no new work after three seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::verdict::Verdict;
use crate::history::{BackendNumber, FrontNumber, Record};
use crate::scenario::Figure;

const LIMIT: Duration = Duration::from_secs(3);

/// Follows backends that leave.
#[derive(Default)]
pub struct DrainChecker {
    leaving: BTreeMap<BackendNumber, MonotonicTime>,
    /// A front machine that was frozen or down learns of it afterwards.
    resumed: BTreeMap<FrontNumber, MonotonicTime>,
}

impl Checker for DrainChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        match record {
            Record::BackendLeaving { backend } => {
                self.leaving.entry(*backend).or_insert(at);
            }
            Record::BackendReturned { backend } => {
                self.leaving.remove(backend);
            }
            Record::FrontResumed { front } => {
                self.resumed.insert(*front, at);
            }
            Record::Dispatched {
                backend,
                front,
                attempt,
                ..
            } => {
                let Some(since) = self.leaving.get(backend) else {
                    return;
                };
                let resumed = self.resumed.get(front).copied().unwrap_or_default();
                let late = at.since((*since).max(resumed));
                let millis = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
                verdict.figures.raise(Figure::Drain, millis);
                if late > LIMIT {
                    let text = format!(
                        "{front:?} sent {attempt:?} to {backend:?} {millis} ms after it left"
                    );
                    verdict.broken(at, Promise::Drain, text);
                }
            }
            _ => {}
        }
    }
}
