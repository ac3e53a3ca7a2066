//! Operators' requests that wait for replies of shards.

use std::collections::BTreeMap;

use millford_api::internal::ShardReply;

use crate::operator::OperatorRequest;

/// One request and the replies received so far.
#[derive(Debug)]
pub(super) struct PendingOperatorRequest {
    /// The operator's request.
    pub(super) body: OperatorRequest,
    /// The replies, in order of arrival.
    pub(super) replies: Vec<ShardReply>,
    missing: usize,
}

/// Waiting requests by number.
#[derive(Debug, Default)]
pub(super) struct PendingOperatorRequests {
    entries: BTreeMap<u64, PendingOperatorRequest>,
}

impl PendingOperatorRequests {
    /// Adds a request that needs this many replies.
    pub(super) fn open(&mut self, request: u64, body: OperatorRequest, answers: usize) {
        let entry = PendingOperatorRequest {
            body,
            replies: Vec::new(),
            missing: answers,
        };
        self.entries.insert(request, entry);
    }

    /// Adds a reply. Returns the request if it was the last missing one.
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
