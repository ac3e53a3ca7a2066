//! Checks that streams skip and repeat no chunk, never mix runs, and move to another backend only if the
//! route allows it.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::request_table::RequestTable;
use crate::history::{Chunk, Record, RequestNumber, ResumeRule};

/// Checks each chunk against the one before, and each second attempt against the route.
#[derive(Default)]
pub struct StreamContinuityChecker {
    requests: RequestTable,
    /// Latest chunk that the caller of each request received.
    last_chunk: BTreeMap<RequestNumber, Chunk>,
}

impl Checker for StreamContinuityChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        self.requests.observe(record);
        match record {
            Record::ChunkReceived {
                client_request,
                chunk,
            } => self.check_chunk(at, *client_request, *chunk, results),
            Record::Dispatched {
                client_request,
                second,
                ..
            } if *second => {
                self.check_move(at, *client_request, results);
            }
            _ => {}
        }
    }
}

impl StreamContinuityChecker {
    fn check_chunk(
        &mut self,
        at: MonotonicTime,
        client_request: RequestNumber,
        chunk: Chunk,
        results: &mut CheckResults,
    ) {
        let before = self.last_chunk.insert(client_request, chunk);
        let expected = before.map_or(0, |before| before.sequence + 1);
        if chunk.sequence != expected {
            let text = format!(
                "{client_request:?} received chunk {} instead of {expected}",
                chunk.sequence
            );
            results.record_violation(at, Guarantee::StreamContinuity, text);
        }
        if let Some(before) = before
            && before.run != chunk.run
        {
            let text = format!("{client_request:?} received chunks of two runs");
            results.record_violation(at, Guarantee::StreamContinuity, text);
        }
    }

    /// Checks a second attempt: after the first chunk it is allowed only if the route resumes runs.
    fn check_move(
        &self,
        at: MonotonicTime,
        client_request: RequestNumber,
        results: &mut CheckResults,
    ) {
        let sent = self.requests.get(client_request);
        let resume = sent.map(|sent| sent.resume);
        if self.last_chunk.contains_key(&client_request) && resume != Some(ResumeRule::Continue) {
            let text = format!(
                "{client_request:?} moved after its first chunk, but its route does not resume runs"
            );
            results.record_violation(at, Guarantee::StreamContinuity, text);
        }
    }
}
