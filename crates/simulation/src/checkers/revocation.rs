//! A revoked key stops working within two seconds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::touch_table::TouchTable;
use crate::checkers::verdict::Verdict;
use crate::history::{CallNumber, CallSent, Record};
use crate::scenario::Figure;

const LIMIT: Duration = Duration::from_secs(2);

/// Follows calls with revoked keys.
#[derive(Default)]
pub struct RevocationChecker {
    touch: TouchTable,
    revoked: BTreeMap<u32, MonotonicTime>,
    /// Time from the revocation to the sending, for calls with a revoked key.
    after: BTreeMap<CallNumber, Duration>,
    reported: BTreeSet<CallNumber>,
}

impl Checker for RevocationChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.touch.observe(at, record);
        match record {
            Record::KeyRevoked { key, .. } => {
                self.revoked.entry(*key).or_insert(at);
            }
            Record::CallSent(sent) => self.note(at, sent),
            Record::Admitted { call } | Record::Dispatched { call, .. } => {
                self.check(at, *call, verdict);
            }
            _ => {}
        }
    }
}

impl RevocationChecker {
    fn note(&mut self, at: MonotonicTime, sent: &CallSent) {
        let Some(revoked) = self.revoked.get(&sent.key) else {
            return;
        };
        let Some(touch) = self.touch.touch_since(sent.front) else {
            return;
        };
        let since = touch.max(*revoked);
        self.after.insert(sent.call, at.since(since));
    }

    fn check(&mut self, at: MonotonicTime, call: CallNumber, verdict: &mut Verdict) {
        let Some(after) = self.after.get(&call) else {
            return;
        };
        let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        verdict.figures.raise(Figure::Revocation, millis);
        if *after > LIMIT && self.reported.insert(call) {
            let text = format!("{call:?} was served {millis} ms after its key was revoked");
            verdict.broken(at, Promise::Revocation, text);
        }
    }
}
