//! What travels on simulated connections.

use std::time::Duration;

use bytes::Bytes;
use millford_api::internal::Frame;
use millford_api::local::LocalFrame;
use millford_proxy::request::message::{AnswerHead, BackendRequest, WithdrawAnswer};
use prost::Message;

/// One message on a connection.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Between control nodes, and from agents to them.
    Frame(Box<Frame>),
    /// Between an agent and its proxy.
    Local(Box<LocalFrame>),
    /// Between a proxy and a backend.
    Http(HttpPacket),
    /// The other side closed, or its process died.
    End,
}

/// Message form of the backend protocol.
#[derive(Clone, Debug)]
pub enum HttpPacket {
    /// A complete request.
    Request(Box<BackendRequest>),
    /// Head of the answer.
    Head(Box<AnswerHead>),
    /// Bytes of the answer's body.
    Body(Bytes),
    /// The body ended complete, by its framing.
    Finish,
    /// Withdraw an attempt.
    Withdraw {
        /// Its id.
        attempt: String,
        /// Upper bound of its age.
        age: Duration,
    },
    /// Answer to a withdrawal.
    WithdrawAnswer(WithdrawAnswer),
    /// Is the backend well?
    Probe,
    /// It is.
    ProbeAnswer,
}

impl Packet {
    /// Tag and size for the trace hash.
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
