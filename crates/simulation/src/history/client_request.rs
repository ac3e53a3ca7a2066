//! Client requests as their callers see them.

use millford_core::{ResultCode, RunState};

use crate::history::identifiers::{ContentNumber, ProxyNodeNumber, RequestNumber};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// It may.
    Repeatable,
    /// It may not, and carries an idempotency key.
    Keyed,
    /// It may not, and carries no key.
    Unkeyed,
}

/// What the route lets happen to a stream whose backend is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeRule {
    /// It ends.
    Never,
    /// It may start anew as long as no chunk has reached the caller.
    FromStart,
    /// Another backend may continue the run at the next chunk.
    Continue,
}

/// A caller sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSent {
    /// The send.
    pub client_request: RequestNumber,
    /// What is to be done.
    pub content: ContentNumber,
    /// Tenant, from 0.
    pub tenant: u16,
    /// Serial number of the tenant key.
    pub key: u32,
    /// Proxy node that it was sent to.
    pub proxy_node: ProxyNodeNumber,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// What its route allows for streams.
    pub resume: ResumeRule,
    /// Whether the answer is a stream.
    pub stream: bool,
}

/// One chunk of an answer, as made by a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Content that the chunk answers.
    pub content: ContentNumber,
    /// Run that made it, a number drawn from the run's id.
    pub run: u64,
    /// Position in the run, from 0.
    pub sequence: u64,
    /// Whether it is the last of the run.
    pub last: bool,
}

/// How a client request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete answer, as far as the caller can tell.
    Complete,
    /// An error answer, or an error event in a stream.
    Refused {
        /// Numbered result code.
        code: ResultCode,
        /// What the answer says about the run.
        run: RunState,
    },
    /// The connection broke, or the caller gave up.
    Lost,
}
