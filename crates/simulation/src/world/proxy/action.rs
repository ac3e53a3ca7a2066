//! Actions that the tasks of a proxy request.

use bytes::Bytes;
use millford_api::local::LocalFrame;
use millford_core::MonotonicTime;
use millford_proxy::request::caller::CallerHead;
use millford_proxy::request::message::{BackendRequest, WithdrawRequest};

use crate::history::RequestNumber;

/// Number of an exchange with a backend, given by the proxy.
pub type ExchangeNumber = u64;

/// One action that a task requests.
#[derive(Debug)]
pub enum ProxyAction {
    /// Send to the agent.
    ToAgent(LocalFrame),
    /// Wake the tasks at a local time.
    WakeAt(MonotonicTime),
    /// Connect to a backend, then send the request.
    Dispatch {
        /// The exchange that waits for the answer.
        exchange: ExchangeNumber,
        /// The client request that is served.
        client_request: RequestNumber,
        /// What is sent.
        request: Box<BackendRequest>,
    },
    /// Connect to a backend, then send the withdrawal.
    Withdraw {
        /// The exchange that waits for the answer.
        exchange: ExchangeNumber,
        /// What is sent.
        request: WithdrawRequest,
    },
    /// Close the connection of an exchange.
    CloseExchange(ExchangeNumber),
    /// A client request was admitted under its tenant's quota.
    Admitted(RequestNumber),
    /// The token of an admitted client request was returned: nothing was sent.
    AdmissionReturned(RequestNumber),
    /// Send the head of an answer to the caller.
    CallerHead {
        /// The request that is answered.
        client_request: RequestNumber,
        /// The head.
        head: CallerHead,
    },
    /// Send a part of the body to the caller.
    CallerBytes {
        /// The request that is answered.
        client_request: RequestNumber,
        /// The part.
        bytes: Bytes,
    },
    /// The body ends.
    CallerEnd {
        /// The request that is answered.
        client_request: RequestNumber,
        /// Whether the body is complete; else the connection breaks.
        complete: bool,
    },
}
