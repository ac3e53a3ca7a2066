//! Inputs of simulated processes.

use millford_control::operator::OperatorRequest;

use crate::history::RequestNumber;
use crate::network::{LinkNumber, Packet};
use crate::world::client_request::ArrivingRequest;

/// An input that a process handles.
#[derive(Clone, Debug)]
pub enum ProcessInput {
    /// A connection is open.
    LinkOpened {
        /// The connection.
        link: LinkNumber,
        /// Whether the process accepted the connection; else it opened it.
        accepted: bool,
    },
    /// A connection ended or could not be opened.
    LinkClosed {
        /// The connection.
        link: LinkNumber,
    },
    /// A packet arrived.
    Packet {
        /// The connection.
        link: LinkNumber,
        /// The packet.
        packet: Packet,
    },
    /// Periodic tick.
    Tick,
    /// A timer of a proxy's tasks may be due.
    Timer,
    /// The result of a read of the registry is available.
    Registry,
    /// A request of an operator arrived.
    Operator {
        /// Number of the request; the reply has the same.
        request: u64,
        /// The request.
        body: Box<OperatorRequest>,
    },
    /// A client request arrived.
    ClientRequest(Box<ArrivingRequest>),
    /// A caller disconnected.
    CallerDisconnected(RequestNumber),
    /// The connect timeout of a connection to a backend expired.
    ConnectTimeout {
        /// The connection.
        link: LinkNumber,
    },
    /// The timeout of a health probe expired.
    ProbeTimeout {
        /// Connection of the probe.
        link: LinkNumber,
    },
    /// The proxy must reconnect to its agent.
    Reconnect,
    /// The backend must send the next part of an answer.
    Work {
        /// The connection.
        link: LinkNumber,
    },
}
