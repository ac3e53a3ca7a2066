//! Messages that the quota leases send.

use millford_api::internal::{QuotaRecall, QuotaReply};

/// A message to one node.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaOutput {
    /// Reply to a request of the member.
    Reply {
        /// Name of the agent.
        member: String,
        /// The reply.
        reply: QuotaReply,
    },
    /// Idle tokens and slots are recalled; the node responds with a request that returns them.
    Recall {
        /// Name of the agent.
        member: String,
        /// Epoch of the session that the lease was granted to.
        epoch: u64,
        /// The recall.
        recall: QuotaRecall,
    },
}

impl QuotaOutput {
    /// Name of the agent that the message is for.
    pub(super) fn member(&self) -> &str {
        match self {
            QuotaOutput::Reply { member, .. } | QuotaOutput::Recall { member, .. } => member,
        }
    }
}
