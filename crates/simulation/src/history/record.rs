//! One entry of the history.

use millford_core::MonotonicTime;

use crate::history::client_request::{Chunk, RequestEnd, RequestSent};
use crate::history::identifiers::{
    AttemptNumber, BackendNumber, ContentNumber, ProxyNodeNumber, RequestNumber,
};
use crate::history::order::{OrderAnswer, OrderNumber};
use crate::network::MachineId;

/// Something that happened, at a true time that the history keeps beside it.
///
/// Verbose runs print records in their debug form; tools read the numbers in it, so the order of the
/// fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Rate and burst of a tenant's quota, from the start of the run.
    Quota {
        /// Tenant, from 0.
        tenant: u16,
        /// Requests a second.
        per_second: u32,
        /// Requests at once.
        burst: u32,
    },
    /// A caller sent a request.
    RequestSent(RequestSent),
    /// A proxy received a client request. Requests queue up before a frozen one, and arrive when it
    /// continues.
    RequestArrived {
        /// The request.
        client_request: RequestNumber,
    },
    /// A proxy admitted a client request under its tenant's quota.
    Admitted {
        /// The request.
        client_request: RequestNumber,
    },
    /// The token of an admitted client request was returned: nothing was sent.
    AdmissionReturned {
        /// The request.
        client_request: RequestNumber,
    },
    /// A chunk reached the caller.
    ChunkReceived {
        /// The request that it answers, as the caller sees it.
        client_request: RequestNumber,
        /// The chunk.
        chunk: Chunk,
    },
    /// The caller knows the end.
    RequestEnded {
        /// The request.
        client_request: RequestNumber,
        /// How it ended.
        end: RequestEnd,
        /// Revision that the answer named.
        revision: Option<u64>,
    },
    /// A proxy sent a request to a backend.
    Dispatched {
        /// The client request that it serves.
        client_request: RequestNumber,
        /// The send.
        attempt: AttemptNumber,
        /// Proxy node that sent it.
        proxy_node: ProxyNodeNumber,
        /// Backend that it was sent to.
        backend: BackendNumber,
        /// Whether an earlier attempt at the client request was sent.
        second: bool,
    },
    /// A request reached a backend.
    BackendReceived {
        /// The backend.
        backend: BackendNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether any part of it holds a tenant key.
        key_seen: bool,
    },
    /// A backend began to work.
    BackendStarted {
        /// The backend.
        backend: BackendNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// What it works on.
        content: ContentNumber,
        /// Number of the run.
        run: u64,
        /// First chunk, 0 unless resumed.
        from: u64,
    },
    /// A backend did all the work of an attempt, with success.
    BackendFinished {
        /// The attempt.
        attempt: AttemptNumber,
        /// What it worked on.
        content: ContentNumber,
        /// Chunks of the complete run.
        chunks: u64,
    },
    /// The registry reports the backend as draining, or the backend died or stopped responding.
    BackendUnavailable {
        /// The backend.
        backend: BackendNumber,
    },
    /// The backend accepts work again.
    BackendAvailable {
        /// The backend.
        backend: BackendNumber,
    },
    /// An operator sent an order.
    OrderSent {
        /// The order.
        order: OrderNumber,
        /// Revision that it was built on.
        base: u64,
    },
    /// An operator got an answer to an order.
    OrderAnswered {
        /// The order.
        order: OrderNumber,
        /// Revision that it was built on.
        base: u64,
        /// The answer.
        answer: OrderAnswer,
    },
    /// An accepted order removed a tenant key.
    KeyRevoked {
        /// Serial number of the key.
        key: u32,
        /// Revision of the order.
        revision: u64,
    },
    /// A proxy routes by a revision from now on.
    RevisionApplied {
        /// Its proxy node.
        proxy_node: ProxyNodeNumber,
        /// The revision.
        revision: u64,
    },
    /// A proxy starts: it applies and serves nothing until it is ready.
    ProxyNodeStarted {
        /// Its proxy node.
        proxy_node: ProxyNodeNumber,
    },
    /// A process of a proxy node runs again after a freeze or a restart.
    ProxyNodeResumed {
        /// The proxy node.
        proxy_node: ProxyNodeNumber,
    },
    /// A control node answered a confirmed read of the configuration.
    RevisionRead {
        /// Revision that was read.
        revision: u64,
        /// Digest of the document that was read.
        digest: u64,
        /// True time at which the read was sent.
        sent: MonotonicTime,
    },
    /// A revision was accepted.
    RevisionWritten {
        /// The revision.
        revision: u64,
        /// Digest of its document.
        digest: u64,
    },
    /// The agent of a proxy node reports whether it is connected to the control plane.
    AgentConnectivity {
        /// The proxy node.
        proxy_node: ProxyNodeNumber,
        /// Whether it is.
        connected: bool,
    },
    /// A fault began.
    FaultBegan {
        /// Its number among the active faults.
        fault: u32,
        /// What it disturbs.
        machines: Vec<MachineId>,
    },
    /// A fault ended: its machines are back.
    FaultEnded {
        /// Its number among the active faults.
        fault: u32,
        /// What it disturbed.
        machines: Vec<MachineId>,
    },
}
