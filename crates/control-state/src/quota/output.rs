//! Messages that the leader's quota leases send to nodes.

use millford_api::internal::{QuotaRecall, QuotaReply};

/// A message to one node.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaOutput {
    /// Reply to a request of the member.
    Reply {
        /// Name of the agent that sent the request.
        member: String,
        /// Message to send, with one grant for each tenant of the request unless it was rejected.
        reply: QuotaReply,
    },
    /// Recall of idle tokens and slots; the node responds with a request that returns them.
    Recall {
        /// Name of the agent that holds the idle tokens or slots.
        member: String,
        /// Epoch of the session that the lease was granted to.
        epoch: u64,
        /// Message to send; it covers one tenant.
        recall: QuotaRecall,
    },
}

impl QuotaOutput {
    /// Returns the name of the agent that the message is addressed to.
    pub(super) fn member(&self) -> &str {
        match self {
            QuotaOutput::Reply { member, .. } | QuotaOutput::Recall { member, .. } => member,
        }
    }
}
