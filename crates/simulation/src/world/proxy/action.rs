//! What the tasks of a proxy want done.

use bytes::Bytes;
use millford_api::local::LocalFrame;
use millford_core::MonotonicTime;
use millford_proxy::request::caller::CallerHead;
use millford_proxy::request::message::{BackendRequest, WithdrawRequest};

use crate::history::CallNumber;

/// Number of an exchange with a backend, given by the proxy.
pub type ExchangeNumber = u64;

/// One wish of a task.
#[derive(Debug)]
pub enum ProxyAction {
    /// Send to the agent.
    ToAgent(LocalFrame),
    /// Wake the tasks at a local time.
    WakeAt(MonotonicTime),
    /// Connect to a backend, then send the request.
    Dispatch {
        exchange: ExchangeNumber,
        call: CallNumber,
        request: Box<BackendRequest>,
    },
    /// Connect to a backend, then send the withdrawal.
    Withdraw {
        exchange: ExchangeNumber,
        request: WithdrawRequest,
    },
    /// Close the connection of an exchange.
    CloseExchange(ExchangeNumber),
    /// A call was admitted under its tenant's quota.
    Admitted(CallNumber),
    /// The token of an admitted call was given back: nothing was sent.
    AdmissionReturned(CallNumber),
    /// Send the head of an answer to the caller.
    CallerHead { call: CallNumber, head: CallerHead },
    /// Send a part of the body to the caller.
    CallerBytes { call: CallNumber, bytes: Bytes },
    /// The body is whole, or the connection breaks.
    CallerEnd { call: CallNumber, whole: bool },
}
