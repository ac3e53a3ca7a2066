//! Checks that a request that was refused as "not run" did not run and never runs.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::{MonotonicTime, RunState};

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::request_table::RequestTable;
use crate::history::{Record, RequestEnd, RequestNumber};

/// Compares "not run" refusals with the runs of backends, before and after the refusal.
#[derive(Default)]
pub struct NotRunTruthChecker {
    requests: RequestTable,
    /// Client requests of which a backend started an attempt.
    started: BTreeSet<RequestNumber>,
    /// Result codes of the client requests that were refused as "not run".
    refused: BTreeMap<RequestNumber, u32>,
}

impl Checker for NotRunTruthChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        self.requests.observe(record);
        match record {
            Record::BackendStarted { attempt, .. } => {
                let Some(client_request) = self
                    .requests
                    .request_of_attempt(*attempt)
                    .map(|sent| sent.client_request)
                else {
                    return;
                };
                self.started.insert(client_request);
                if let Some(code) = self.refused.get(&client_request) {
                    let text = format!(
                        "{client_request:?} was refused as not run with code {code}, then ran"
                    );
                    results.record_violation(at, Guarantee::NotRunTruth, text);
                }
            }
            Record::RequestEnded {
                client_request,
                end:
                    RequestEnd::Refused {
                        code,
                        run: RunState::NotRun,
                    },
                ..
            } => {
                self.refused.insert(*client_request, code.number());
                if self.started.contains(client_request) {
                    let text = format!(
                        "{client_request:?} ran, but was refused as not run with code {code}"
                    );
                    results.record_violation(at, Guarantee::NotRunTruth, text);
                }
            }
            _ => {}
        }
    }
}
