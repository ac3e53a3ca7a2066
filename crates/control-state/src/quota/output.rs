//! What the ledger wants sent.

use millford_api::internal::{QuotaRecall, QuotaReply};

/// A message to one node.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaOutput {
    /// Answer to a request of the member.
    Reply {
        /// Name of the agent.
        member: String,
        /// The answer.
        reply: QuotaReply,
    },
    /// Idle slices are wanted back; the node answers with an ask that returns them.
    Recall {
        /// Name of the agent.
        member: String,
        /// Epoch of the session that holds the slices.
        epoch: u64,
        /// The recall.
        recall: QuotaRecall,
    },
}
