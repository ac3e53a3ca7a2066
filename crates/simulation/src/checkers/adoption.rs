//! An acknowledged revision governs every node in touch within two seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::touch_table::TouchTable;
use crate::checkers::verdict::Verdict;
use crate::history::{FrontNumber, OrderAnswer, Record};
use crate::scenario::Figure;

const LIMIT: Duration = Duration::from_secs(2);

/// Follows the revision of each front machine behind the acknowledged ones.
#[derive(Default)]
pub struct AdoptionChecker {
    touch: TouchTable,
    /// Time of the first acknowledgement of each revision.
    acknowledged: BTreeMap<u64, MonotonicTime>,
    shown: BTreeMap<FrontNumber, u64>,
    reported: BTreeMap<FrontNumber, u64>,
}

impl Checker for AdoptionChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        // Before the record is taken in: what was overdue under the touch that held until now.
        self.check_overdue(at, verdict);
        self.touch.observe(at, record);
        match record {
            Record::OrderAnswered {
                answer: OrderAnswer::Accepted { revision, .. },
                ..
            } => {
                self.acknowledged.entry(*revision).or_insert(at);
            }
            Record::FrontStarted { front } => {
                self.shown.remove(front);
            }
            Record::RevisionShown { front, revision } => {
                self.measure(at, *front, *revision, verdict);
                self.shown.insert(*front, *revision);
            }
            _ => {}
        }
    }
}

impl AdoptionChecker {
    // The first acknowledged revision that the front machine does not show.
    fn behind(&self, front: FrontNumber) -> Option<(u64, MonotonicTime)> {
        // Who shows nothing serves nothing; how long that may last is the recovery's promise.
        let shown = self.shown.get(&front)?;
        let next = self.acknowledged.range(shown + 1..).next()?;
        Some((*next.0, *next.1))
    }

    fn waiting_since(&self, front: FrontNumber) -> Option<(u64, MonotonicTime)> {
        let (revision, acknowledged) = self.behind(front)?;
        let touch = self.touch.touch_since(front)?;
        Some((revision, acknowledged.max(touch)))
    }

    fn check_overdue(&mut self, at: MonotonicTime, verdict: &mut Verdict) {
        let fronts: Vec<FrontNumber> = self.touch.fronts().collect();
        for front in fronts {
            let Some((revision, since)) = self.waiting_since(front) else {
                continue;
            };
            let reported = self.reported.entry(front).or_default();
            if at.since(since) <= LIMIT || *reported >= revision {
                continue;
            }
            *reported = revision;
            let shown = self.shown.get(&front).copied().unwrap_or(0);
            let text = format!("{front:?} in touch shows {shown}, not {revision}, after 2 s");
            verdict.broken(at, Promise::Adoption, text);
        }
    }

    fn measure(&self, at: MonotonicTime, front: FrontNumber, revision: u64, verdict: &mut Verdict) {
        let Some((behind, since)) = self.waiting_since(front) else {
            return;
        };
        if revision >= behind {
            let millis = u64::try_from(at.since(since).as_millis()).unwrap_or(u64::MAX);
            verdict.figures.raise(Figure::Adoption, millis);
        }
    }
}
