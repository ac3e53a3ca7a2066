//! What happens between nodes and leaders.

use millford_api::internal::{QuotaReply, QuotaRequest};
use millford_control_state::quota::QuotaOutput;

/// What happens, in the order of time.
pub enum Event {
    Arrival {
        node: usize,
    },
    ToLeader {
        leader: usize,
        request: QuotaRequest,
    },
    ToNode {
        node: usize,
        epoch: u64,
        at: u64,
        reply: QuotaReply,
    },
    Recall {
        node: usize,
        epoch: u64,
    },
    Wake {
        node: usize,
        epoch: u64,
    },
    Crash {
        node: usize,
    },
    /// The node says something that is no answer to a recall, such as a renewal of its slots.
    Renew {
        node: usize,
    },
    ElectLeader,
    StopLeader {
        leader: usize,
    },
}

/// The event of an output that arrives; `lent_at` is when the answer's tokens were lent.
pub fn to_event(output: QuotaOutput, asker_epoch: u64, lent_at: u64) -> Event {
    match output {
        QuotaOutput::Reply { member, reply } => Event::ToNode {
            node: member.parse().expect("a node"),
            epoch: asker_epoch,
            at: lent_at,
            reply,
        },
        QuotaOutput::Recall { member, epoch, .. } => Event::Recall {
            node: member.parse().expect("a node"),
            epoch,
        },
    }
}
