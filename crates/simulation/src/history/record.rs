//! One entry of the history.

use millford_core::MonotonicTime;

use crate::history::client_request::{Chunk, RequestEnd, RequestSent};
use crate::history::identifiers::{
    AttemptNumber, BackendNumber, ContentNumber, ProxyNodeNumber, RequestNumber,
};
use crate::history::order::{OrderAnswer, OrderNumber};
use crate::network::MachineId;

/// Something that happened, at a true time that the history keeps beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Rate and burst of a tenant's quota, from the start of the run.
    Quota {
        tenant: u16,
        per_second: u32,
        burst: u32,
    },
    /// A caller sent a request.
    RequestSent(RequestSent),
    /// A proxy received a client request. Requests queue up before a frozen one, and arrive when it continues.
    RequestArrived { client_request: RequestNumber },
    /// A proxy admitted a client request under its tenant's quota.
    Admitted { client_request: RequestNumber },
    /// The token of an admitted client request was returned: nothing was sent.
    AdmissionReturned { client_request: RequestNumber },
    /// A chunk reached the caller.
    ChunkReceived {
        client_request: RequestNumber,
        chunk: Chunk,
    },
    /// The caller knows the end, and the revision that the answer named.
    RequestEnded {
        client_request: RequestNumber,
        end: RequestEnd,
        revision: Option<u64>,
    },
    /// A proxy sent a request to a backend.
    Dispatched {
        client_request: RequestNumber,
        attempt: AttemptNumber,
        proxy_node: ProxyNodeNumber,
        backend: BackendNumber,
        /// Whether an earlier attempt of the client request was sent.
        second: bool,
    },
    /// A request reached a backend; whether any part of it holds a tenant key.
    BackendReceived {
        backend: BackendNumber,
        attempt: AttemptNumber,
        key_seen: bool,
    },
    /// A backend began to work.
    BackendStarted {
        backend: BackendNumber,
        attempt: AttemptNumber,
        content: ContentNumber,
        run: u64,
        /// First chunk, 0 unless resumed.
        from: u64,
    },
    /// A backend did all the work of an attempt, with success.
    BackendFinished {
        attempt: AttemptNumber,
        content: ContentNumber,
        /// Chunks of the complete run.
        chunks: u64,
    },
    /// The registry reports the backend as draining, or the backend died or stopped responding.
    BackendUnavailable { backend: BackendNumber },
    /// The backend accepts work again.
    BackendAvailable { backend: BackendNumber },
    /// An operator sent an order.
    OrderSent { order: OrderNumber, base: u64 },
    /// An operator got an answer to an order.
    OrderAnswered {
        order: OrderNumber,
        base: u64,
        answer: OrderAnswer,
    },
    /// An accepted order removed a tenant key.
    KeyRevoked { key: u32, revision: u64 },
    /// A proxy node's proxy routes by a revision from now on.
    RevisionApplied {
        proxy_node: ProxyNodeNumber,
        revision: u64,
    },
    /// A proxy starts: it shows and serves nothing until it is ready.
    ProxyNodeStarted { proxy_node: ProxyNodeNumber },
    /// A process of a proxy node runs again after a freeze or a restart.
    ProxyNodeResumed { proxy_node: ProxyNodeNumber },
    /// A control node answered a confirmed read of the configuration, sent at a true time.
    RevisionRead {
        revision: u64,
        digest: u64,
        sent: MonotonicTime,
    },
    /// Digest of the document of an accepted revision.
    RevisionWritten { revision: u64, digest: u64 },
    /// A proxy node's agent says whether it is connected.
    AgentConnectivity {
        proxy_node: ProxyNodeNumber,
        connected: bool,
    },
    /// A fault began; what it disturbs.
    FaultBegan {
        fault: u32,
        machines: Vec<MachineId>,
    },
    /// Its machines are back.
    FaultEnded {
        fault: u32,
        machines: Vec<MachineId>,
    },
}
