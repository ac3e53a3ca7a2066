//! Checks that no truncated answer is reported as complete, and no success without a completed run.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::request_table::RequestTable;
use crate::history::{ContentNumber, Record, RequestEnd, RequestNumber};

/// Requires the last chunk and a completed run for every answer that its caller took as complete.
#[derive(Default)]
pub struct CompleteAnswersChecker {
    requests: RequestTable,
    /// Contents of which a backend completed a run.
    finished: BTreeSet<ContentNumber>,
    /// Whether the caller of a request received the last chunk of a run.
    last_chunk_seen: BTreeMap<RequestNumber, bool>,
}

impl Checker for CompleteAnswersChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        self.requests.observe(record);
        match record {
            Record::BackendFinished { content, .. } => {
                self.finished.insert(*content);
            }
            Record::ChunkReceived {
                client_request,
                chunk,
            } => {
                let seen = self.last_chunk_seen.entry(*client_request).or_default();
                *seen |= chunk.last;
            }
            Record::RequestEnded {
                client_request,
                end: RequestEnd::Complete,
                ..
            } => self.check(at, *client_request, results),
            _ => {}
        }
    }
}

impl CompleteAnswersChecker {
    fn check(&self, at: MonotonicTime, client_request: RequestNumber, results: &mut CheckResults) {
        if self.last_chunk_seen.get(&client_request) != Some(&true) {
            let text = format!("{client_request:?} ended as complete without its last chunk");
            results.record_violation(at, Guarantee::CompleteAnswers, text);
        }
        let Some(sent) = self.requests.get(client_request) else {
            return;
        };
        if !self.finished.contains(&sent.content) {
            let text =
                format!("{client_request:?} ended as complete, but no backend completed its run");
            results.record_violation(at, Guarantee::CompleteAnswers, text);
        }
    }
}
