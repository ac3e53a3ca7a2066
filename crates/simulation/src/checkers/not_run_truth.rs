//! A refusal that says "not run" is true.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::{MonotonicTime, RunState};

use crate::checkers::call_table::CallTable;
use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::verdict::Verdict;
use crate::history::{CallEnd, CallNumber, Record};

/// Holds refusals against what the backends ran, before and after.
#[derive(Default)]
pub struct NotRunTruthChecker {
    calls: CallTable,
    started: BTreeSet<CallNumber>,
    refused: BTreeMap<CallNumber, u32>,
}

impl Checker for NotRunTruthChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.calls.observe(record);
        match record {
            Record::BackendStarted { attempt, .. } => {
                let Some(call) = self.calls.call_of(*attempt).map(|sent| sent.call) else {
                    return;
                };
                self.started.insert(call);
                if let Some(code) = self.refused.get(&call) {
                    let text = format!("{call:?} was refused with {code} as not run, then ran");
                    verdict.broken(at, Promise::NotRunTruth, text);
                }
            }
            Record::CallEnded {
                call,
                end:
                    CallEnd::Refused {
                        code,
                        run: RunState::NotRun,
                    },
                ..
            } => {
                self.refused.insert(*call, code.number());
                if self.started.contains(call) {
                    let text = format!("{call:?} ran, but was refused with {code} as not run");
                    verdict.broken(at, Promise::NotRunTruth, text);
                }
            }
            _ => {}
        }
    }
}
