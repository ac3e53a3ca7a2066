//! Actions that the tasks of a proxy request from its driver.

use bytes::Bytes;
use millford_api::local::LocalFrame;
use millford_core::MonotonicTime;
use millford_proxy::request::caller::CallerHead;
use millford_proxy::request::message::{BackendRequest, WithdrawRequest};

use crate::history::RequestNumber;

/// Number of a proxy's exchange with a backend; unique per incarnation of the proxy.
pub type ExchangeNumber = u64;

/// An action that a task requests from the driver.
#[derive(Debug)]
pub enum ProxyAction {
    /// Sends a frame to the agent.
    ToAgent(LocalFrame),
    /// Wakes the tasks at a local time.
    WakeAt(MonotonicTime),
    /// Connects to a backend, then sends the request.
    Dispatch {
        /// The exchange that waits for the answer.
        exchange: ExchangeNumber,
        /// The client request that is served.
        client_request: RequestNumber,
        /// The request to send.
        request: Box<BackendRequest>,
    },
    /// Connects to a backend, then sends the withdrawal.
    Withdraw {
        /// The exchange that waits for the answer.
        exchange: ExchangeNumber,
        /// The withdrawal to send.
        request: WithdrawRequest,
    },
    /// Closes the connection of an exchange.
    CloseExchange(ExchangeNumber),
    /// Records the admission of a client request under its tenant's quota.
    Admitted(RequestNumber),
    /// Records the return of a client request's quota token, since no attempt was sent.
    AdmissionReturned(RequestNumber),
    /// Sends the head of an answer to the caller.
    CallerHead {
        /// The request that is answered.
        client_request: RequestNumber,
        /// The head to send.
        head: CallerHead,
    },
    /// Sends a part of an answer's body to the caller.
    CallerBytes {
        /// The request that is answered.
        client_request: RequestNumber,
        /// The part to send.
        bytes: Bytes,
    },
    /// Ends an answer.
    CallerEnd {
        /// The request that is answered.
        client_request: RequestNumber,
        /// Whether the body is complete; else the connection to the caller is aborted.
        complete: bool,
    },
}
