//! What a shard's core wants done.

use millford_api::internal::{FeedMessage, LoadSnapshot, QuotaRecall, QuotaReply, ShardReply};
use millford_api::replication::ReplicationMessage;
use millford_api::state::StateItem;
use millford_core::ResultCode;

use super::input::Ticket;
use super::standing::ShardStanding;
use crate::link::LinkId;
use crate::node_output::NodeNote;

/// One output of a shard's core.
#[derive(Clone, Debug)]
pub enum ShardOutput {
    /// A message to another replica, named in it.
    Replication(ReplicationMessage),
    /// Answer to a request.
    Reply {
        /// Of the request.
        ticket: Ticket,
        /// The answer.
        reply: ShardReply,
    },
    /// Answer to a quota request.
    Quota {
        /// Of the request.
        ticket: Ticket,
        /// The answer.
        reply: QuotaReply,
    },
    /// Ask nodes for idle quota.
    Recall(QuotaRecall),
    /// Ask the leader to confirm a read of this replica.
    AskLeader {
        /// Number of the read.
        read: u64,
    },
    /// A feed message for an agent.
    Feed {
        /// The agent's link.
        subscriber: LinkId,
        /// The message.
        message: FeedMessage,
    },
    /// Public items changed in this replica.
    PublicChange(Vec<StateItem>),
    /// The replica's role or touch changed.
    Standing(ShardStanding),
    /// Load of all nodes together, for the agents.
    Picture(LoadSnapshot),
    /// Something worth a line in the log.
    Note(NodeNote),
    /// The replica cannot go on.
    Failed(ResultCode),
}
