//! Collects the gateway's outputs in order.

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
    /// Adds an output of any kind.
    pub(super) fn push(&mut self, output: GatewayOutput) {
        self.outputs.push(output);
    }

    /// Adds an output to the outside of the node.
    pub(super) fn emit(&mut self, output: NodeOutput) {
        self.push(GatewayOutput::Node(output));
    }

    /// Adds an event for the log.
    pub(super) fn record_event(&mut self, event: NodeEvent) {
        self.emit(NodeOutput::Event(event));
    }

    /// Adds a frame to be sent on a link.
    pub(super) fn send(&mut self, link: LinkId, body: frame::Body) {
        let frame = Frame { body: Some(body) };
        self.emit(NodeOutput::Send { link, frame });
    }

    /// Adds an input for a shard's core.
    pub(super) fn send_to_shard(&mut self, shard: ShardId, input: ShardInput) {
        self.push(GatewayOutput::Shard { shard, input });
    }

    /// Takes the outputs since the last call.
    pub(super) fn take(&mut self) -> Vec<GatewayOutput> {
        std::mem::take(&mut self.outputs)
    }
}
