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
        /// Number of the request that arrived.
        client_request: RequestNumber,
    },
    /// A proxy admitted a client request under its tenant's quota.
    Admitted {
        /// Number of the request that was admitted.
        client_request: RequestNumber,
    },
    /// The quota token of an admitted client request was returned, since no attempt was sent.
    AdmissionReturned {
        /// Number of the request whose token was returned.
        client_request: RequestNumber,
    },
    /// A chunk of an answer reached the caller.
    ChunkReceived {
        /// The client request on whose connection it arrived.
        client_request: RequestNumber,
        /// Content, run and position of the chunk.
        chunk: Chunk,
    },
    /// A client request ended for its caller.
    RequestEnded {
        /// Number of the request that ended.
        client_request: RequestNumber,
        /// Kind of end, as observed by the caller.
        end: RequestEnd,
        /// Configuration revision in the answer; absent without an answer.
        revision: Option<u64>,
    },
    /// A proxy sent a request to a backend.
    Dispatched {
        /// The client request that is served.
        client_request: RequestNumber,
        /// Number of the attempt: a hash of its id.
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
        /// Backend that received the request.
        backend: BackendNumber,
        /// Number of the attempt that sent the request.
        attempt: AttemptNumber,
        /// Whether the request contains a tenant key.
        key_seen: bool,
    },
    /// A backend started to run an attempt.
    BackendStarted {
        /// Backend that runs the attempt.
        backend: BackendNumber,
        /// Attempt that is run.
        attempt: AttemptNumber,
        /// Content of the request that is run.
        content: ContentNumber,
        /// Number of the run, a hash of its id.
        run: u64,
        /// First chunk that is generated; above 0 for a resumed run.
        from: u64,
    },
    /// A backend completed an attempt.
    BackendFinished {
        /// Attempt that was completed.
        attempt: AttemptNumber,
        /// Content of the request that was run.
        content: ContentNumber,
        /// Number of chunks of the complete run.
        chunks: u64,
    },
    /// The registry lists the backend as draining, or the backend crashed or stopped responding.
    BackendUnavailable {
        /// Backend that should no longer get new requests.
        backend: BackendNumber,
    },
    /// The backend accepts work again.
    BackendAvailable {
        /// Backend that may get new requests again.
        backend: BackendNumber,
    },
    /// An operator sent an order.
    OrderSent {
        /// Number of the order; a resend has the same.
        order: OrderNumber,
        /// Base revision of the order.
        base: u64,
    },
    /// An operator received the answer to an order, or timed out.
    OrderAnswered {
        /// Number of the order; a resend has the same.
        order: OrderNumber,
        /// Base revision of the order.
        base: u64,
        /// Answer of the control node; undecided after a timeout.
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
        /// Revision that the proxy routes by from now on.
        revision: u64,
    },
    /// A proxy started. Until it is ready it applies no revision and serves no request.
    ProxyNodeStarted {
        /// Proxy node of the proxy.
        proxy_node: ProxyNodeNumber,
    },
    /// A process of a proxy node runs again after a freeze or a restart.
    ProxyNodeResumed {
        /// Proxy node whose agent or proxy runs again.
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
        /// Revision that was accepted.
        revision: u64,
        /// Digest of the document that the order set.
        digest: u64,
    },
    /// The agent of a proxy node connected to the control plane, or lost its connection.
    AgentConnectivity {
        /// Proxy node that the agent runs on.
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
