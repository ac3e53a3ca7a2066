//! What the gateway wants done, in the order in which it was decided.

use millford_api::internal::{Frame, frame};
use millford_core::ShardId;

use super::input::GatewayOutput;
use crate::link::LinkId;
use crate::node_event::NodeEvent;
use crate::node_output::NodeOutput;
use crate::shard::ShardInput;

/// Outputs since the last call of [`Outbox::take`].
#[derive(Debug, Default)]
pub(super) struct Outbox {
    outputs: Vec<GatewayOutput>,
}

impl Outbox {
    /// An output of any kind.
    pub(super) fn push(&mut self, output: GatewayOutput) {
        self.outputs.push(output);
    }

    /// To the outside of the node.
    pub(super) fn emit(&mut self, output: NodeOutput) {
        self.push(GatewayOutput::Node(output));
    }

    /// An event for the log.
    pub(super) fn record_event(&mut self, event: NodeEvent) {
        self.emit(NodeOutput::Event(event));
    }

    /// A frame on a link.
    pub(super) fn send(&mut self, link: LinkId, body: frame::Body) {
        let frame = Frame { body: Some(body) };
        self.emit(NodeOutput::Send { link, frame });
    }

    /// An input of a shard's core.
    pub(super) fn send_to_shard(&mut self, shard: ShardId, input: ShardInput) {
        self.push(GatewayOutput::Shard { shard, input });
    }

    /// Everything since the last call.
    pub(super) fn take(&mut self) -> Vec<GatewayOutput> {
        std::mem::take(&mut self.outputs)
    }
}
