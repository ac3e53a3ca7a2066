//! Simulated network between the nodes' quota clients and a leader's quota leases.

use millford_api::internal::{QuotaRecall, QuotaReply, QuotaRequest};
use millford_control_state::quota::QuotaOutput;
use millford_core::MonotonicTime;

/// A message in flight. Replies and recalls carry the index of the node that they are sent to.
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

/// Messages in flight with their arrival times.
#[derive(Default)]
pub(crate) struct MessageQueue {
    in_flight: Vec<(MonotonicTime, Message)>,
}

impl MessageQueue {
    pub(crate) fn send(&mut self, at: MonotonicTime, message: Message) {
        self.in_flight.push((at, message));
    }

    /// Removes and returns the messages that have arrived, in the order in which they were sent.
    pub(crate) fn take_arrived(&mut self, now: MonotonicTime) -> Vec<Message> {
        let messages = std::mem::take(&mut self.in_flight);
        let (arrived, later): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        arrived.into_iter().map(|(_, message)| message).collect()
    }
}

/// Returns the name of a node, which [`node_of`] parses.
pub(crate) fn name_of(node: usize) -> String {
    format!("node-{node}")
}

fn node_of(member: &str) -> usize {
    let number = member.trim_start_matches("node-");
    number.parse().expect("a node's name")
}
