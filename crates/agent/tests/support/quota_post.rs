//! What travels between the nodes' desks and a leader's ledger.

use millford_api::internal::{QuotaRecall, QuotaReply, QuotaRequest};
use millford_control_state::quota::QuotaOutput;
use millford_core::MonotonicTime;

/// A message under way; answers and recalls name the node that they go to.
pub enum Parcel {
    Request(QuotaRequest),
    Reply(usize, QuotaReply),
    Recall(usize, QuotaRecall),
}

impl From<QuotaOutput> for Parcel {
    fn from(output: QuotaOutput) -> Self {
        match output {
            QuotaOutput::Reply { member, reply } => Parcel::Reply(node_of(&member), reply),
            QuotaOutput::Recall { member, recall, .. } => Parcel::Recall(node_of(&member), recall),
        }
    }
}

/// Messages under way, each with the time at which it arrives.
#[derive(Default)]
pub struct Post {
    travelling: Vec<(MonotonicTime, Parcel)>,
}

impl Post {
    pub fn send(&mut self, at: MonotonicTime, parcel: Parcel) {
        self.travelling.push((at, parcel));
    }

    /// Takes out what has arrived, in the order of sending.
    pub fn take_arrived(&mut self, now: MonotonicTime) -> Vec<Parcel> {
        let parcels = std::mem::take(&mut self.travelling);
        let (arrived, still): (Vec<_>, Vec<_>) =
            parcels.into_iter().partition(|(at, _)| *at <= now);
        self.travelling = still;
        arrived.into_iter().map(|(_, parcel)| parcel).collect()
    }
}

/// Name of a node, as [`node_of`] reads it.
pub fn name_of(node: usize) -> String {
    format!("node-{node}")
}

fn node_of(member: &str) -> usize {
    let number = member.trim_start_matches("node-");
    number.parse().expect("a node's name")
}
