//! Messages on simulated connections.

use std::time::Duration;

use bytes::Bytes;
use millford_api::internal::Frame;
use millford_api::local::LocalFrame;
use millford_proxy::request::message::{AnswerHead, BackendRequest, WithdrawAnswer};
use prost::Message;

/// A message on a connection.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Frame between control nodes, or between an agent and a control node.
    Frame(Box<Frame>),
    /// Frame between an agent and its proxy.
    Local(Box<LocalFrame>),
    /// Message between a proxy and a backend.
    Http(HttpPacket),
    /// End of the connection: the other side closed it, or its process ended.
    End,
}

/// Message of the backend protocol, in place of HTTP.
#[derive(Clone, Debug)]
pub enum HttpPacket {
    /// Headers and complete body of a request.
    Request(Box<BackendRequest>),
    /// Status and headers of an answer.
    Head(Box<AnswerHead>),
    /// A part of an answer's body.
    Body(Bytes),
    /// The body is complete according to its framing.
    Finish,
    /// Request to withdraw an attempt.
    Withdraw {
        /// Id of the attempt to withdraw.
        attempt: String,
        /// Upper bound of the attempt's age.
        age: Duration,
    },
    /// Answer to a withdrawal.
    WithdrawAnswer(WithdrawAnswer),
    /// Health probe, which a backend answers with [`HttpPacket::ProbeAnswer`].
    Probe,
    /// Positive answer to a health probe.
    ProbeAnswer,
}

impl Packet {
    /// Returns tag and size for the trace hash.
    #[must_use]
    pub fn trace(&self) -> (u8, usize) {
        match self {
            Packet::Frame(frame) => (1, frame.encoded_len()),
            Packet::Local(frame) => (2, frame.encoded_len()),
            Packet::Http(HttpPacket::Request(request)) => (3, request.body.len()),
            Packet::Http(HttpPacket::Head(head)) => (4, usize::from(head.status)),
            Packet::Http(HttpPacket::Body(bytes)) => (5, bytes.len()),
            Packet::Http(_) => (6, 0),
            Packet::End => (7, 0),
        }
    }
}
