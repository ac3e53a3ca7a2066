//! Operators' requests that wait for answers of shards.

use std::collections::BTreeMap;

use millford_api::internal::ShardReply;

use crate::operator::OperatorRequest;

/// One request and the answers that came in.
#[derive(Debug)]
pub(super) struct PendingOperatorRequest {
    /// The request.
    pub(super) body: OperatorRequest,
    /// The answers.
    pub(super) replies: Vec<ShardReply>,
    missing: usize,
}

/// Requests by number.
#[derive(Debug, Default)]
pub(super) struct PendingOperatorRequests {
    entries: BTreeMap<u64, PendingOperatorRequest>,
}

impl PendingOperatorRequests {
    /// A request waits for this many answers.
    pub(super) fn open(&mut self, request: u64, body: OperatorRequest, answers: usize) {
        let entry = PendingOperatorRequest {
            body,
            replies: Vec::new(),
            missing: answers,
        };
        self.entries.insert(request, entry);
    }

    /// An answer came in. Returns the request once it was the last one.
    pub(super) fn answered(
        &mut self,
        request: u64,
        reply: ShardReply,
    ) -> Option<PendingOperatorRequest> {
        let entry = self.entries.get_mut(&request)?;
        entry.replies.push(reply);
        entry.missing = entry.missing.saturating_sub(1);
        if entry.missing > 0 {
            return None;
        }
        self.entries.remove(&request)
    }
}
