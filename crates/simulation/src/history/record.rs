//! One entry of the history.

use millford_core::MonotonicTime;

use crate::history::client_request::{Chunk, RequestEnd, RequestSent};
use crate::history::identifiers::{
    AttemptNumber, BackendNumber, ContentNumber, ProxyNodeNumber, RequestNumber,
};
use crate::history::order::{OrderAnswer, OrderNumber};
use crate::network::MachineId;

/// An event of a run. The history stores its simulated time separately.
///
/// Verbose runs print records in their debug form, and the trace hash covers it. Tools parse the numbers
/// in it, so names and order of the fields are part of the format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Rate and burst of a tenant's quota, from the start of the run.
    Quota {
        /// Tenant, from 0.
        tenant: u16,
        /// Rate, in requests per second.
        per_second: u32,
        /// Burst, in requests.
        burst: u32,
    },
    /// A caller sent a request.
    RequestSent(RequestSent),
    /// A proxy received a client request. Requests to a frozen proxy are queued and arrive when it
    /// continues.
    RequestArrived {
        /// The client request.
        client_request: RequestNumber,
    },
    /// A proxy admitted a client request under its tenant's quota.
    Admitted {
        /// The client request.
        client_request: RequestNumber,
    },
    /// The quota token of an admitted client request was returned, since no attempt was sent.
    AdmissionReturned {
        /// The client request.
        client_request: RequestNumber,
    },
    /// A chunk of an answer reached the caller.
    ChunkReceived {
        /// The client request on whose connection it arrived.
        client_request: RequestNumber,
        /// The chunk.
        chunk: Chunk,
    },
    /// A client request ended for its caller.
    RequestEnded {
        /// The client request.
        client_request: RequestNumber,
        /// Kind of end.
        end: RequestEnd,
        /// Configuration revision in the answer; absent without an answer.
        revision: Option<u64>,
    },
    /// A proxy sent a request to a backend.
    Dispatched {
        /// The client request that is served.
        client_request: RequestNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// Proxy node that sent it.
        proxy_node: ProxyNodeNumber,
        /// Backend that it was sent to.
        backend: BackendNumber,
        /// Whether the client request had an earlier attempt.
        second: bool,
    },
    /// A request reached a backend.
    BackendReceived {
        /// The backend.
        backend: BackendNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether the request contains a tenant key.
        key_seen: bool,
    },
    /// A backend started to run an attempt.
    BackendStarted {
        /// The backend.
        backend: BackendNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// Content of the request.
        content: ContentNumber,
        /// Number of the run, a hash of its id.
        run: u64,
        /// First chunk that is generated; above 0 for a resumed run.
        from: u64,
    },
    /// A backend completed an attempt.
    BackendFinished {
        /// The attempt.
        attempt: AttemptNumber,
        /// Content of the request.
        content: ContentNumber,
        /// Number of chunks of the complete run.
        chunks: u64,
    },
    /// The registry lists the backend as draining, or the backend crashed or stopped responding.
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
        /// Base revision of the order.
        base: u64,
    },
    /// An operator received the answer to an order, or timed out.
    OrderAnswered {
        /// The order.
        order: OrderNumber,
        /// Base revision of the order.
        base: u64,
        /// The answer.
        answer: OrderAnswer,
    },
    /// An accepted order removed a tenant key.
    KeyRevoked {
        /// Serial number of the key.
        key: u32,
        /// Revision that the order created.
        revision: u64,
    },
    /// A proxy routes by a new revision.
    RevisionApplied {
        /// Proxy node of the proxy.
        proxy_node: ProxyNodeNumber,
        /// The revision.
        revision: u64,
    },
    /// A proxy started. Until it is ready it applies no revision and serves no request.
    ProxyNodeStarted {
        /// Proxy node of the proxy.
        proxy_node: ProxyNodeNumber,
    },
    /// A process of a proxy node runs again after a freeze or a restart.
    ProxyNodeResumed {
        /// The proxy node.
        proxy_node: ProxyNodeNumber,
    },
    /// A control node answered a linearizable read of the configuration.
    RevisionRead {
        /// Revision that was read.
        revision: u64,
        /// Digest of the document that was read.
        digest: u64,
        /// Simulated time at which the read was sent.
        sent: MonotonicTime,
    },
    /// An operator received the acceptance of a revision for the first time.
    RevisionWritten {
        /// The revision.
        revision: u64,
        /// Digest of its document.
        digest: u64,
    },
    /// The agent of a proxy node connected to the control plane, or lost its connection.
    AgentConnectivity {
        /// The proxy node.
        proxy_node: ProxyNodeNumber,
        /// Whether the agent is connected now.
        connected: bool,
    },
    /// A fault began.
    FaultBegan {
        /// Number of the active fault.
        fault: u32,
        /// Machines that the fault affects.
        machines: Vec<MachineId>,
    },
    /// A fault ended.
    FaultEnded {
        /// Number of the active fault.
        fault: u32,
        /// Machines that the fault affected.
        machines: Vec<MachineId>,
    },
}
