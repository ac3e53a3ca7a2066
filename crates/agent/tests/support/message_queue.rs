//! Messages between the nodes' quota clients and a leader's quota leases.

use millford_api::internal::{QuotaRecall, QuotaReply, QuotaRequest};
use millford_control_state::quota::QuotaOutput;
use millford_core::MonotonicTime;

/// A message in flight; answers and recalls name the node that they go to.
pub(crate) enum Message {
    Request(QuotaRequest),
    Reply(usize, QuotaReply),
    Recall(usize, QuotaRecall),
}

impl From<QuotaOutput> for Message {
    fn from(output: QuotaOutput) -> Self {
        match output {
            QuotaOutput::Reply { member, reply } => Message::Reply(node_of(&member), reply),
            QuotaOutput::Recall { member, recall, .. } => Message::Recall(node_of(&member), recall),
        }
    }
}

/// Messages in flight, each with the time at which it arrives.
#[derive(Default)]
pub(crate) struct MessageQueue {
    in_flight: Vec<(MonotonicTime, Message)>,
}

impl MessageQueue {
    pub(crate) fn send(&mut self, at: MonotonicTime, message: Message) {
        self.in_flight.push((at, message));
    }

    /// Takes out what has arrived, in the order of sending.
    pub(crate) fn take_arrived(&mut self, now: MonotonicTime) -> Vec<Message> {
        let messages = std::mem::take(&mut self.in_flight);
        let (arrived, later): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        arrived.into_iter().map(|(_, message)| message).collect()
    }
}

/// Name of a node, as [`node_of`] reads it.
pub(crate) fn name_of(node: usize) -> String {
    format!("node-{node}")
}

fn node_of(member: &str) -> usize {
    let number = member.trim_start_matches("node-");
    number.parse().expect("a node's name")
}
