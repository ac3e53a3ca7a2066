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
        /// Connection on which both sides may send now.
        link: LinkNumber,
        /// Whether the process accepted the connection; else it opened it.
        accepted: bool,
    },
    /// A connection ended or could not be opened.
    LinkClosed {
        /// Connection that ended or could not be opened.
        link: LinkNumber,
    },
    /// A packet arrived.
    Packet {
        /// Connection on which the packet arrived.
        link: LinkNumber,
        /// Packet that arrived.
        packet: Packet,
    },
    /// The periodic tick of the process is due.
    Tick,
    /// A timer of a proxy's tasks may be due.
    Timer,
    /// The result of a read of the registry is available.
    Registry,
    /// A request of an operator arrived.
    Operator {
        /// Number of the request; the reply has the same.
        request: u64,
        /// Order or read for the control node.
        body: Box<OperatorRequest>,
    },
    /// A client request arrived.
    ClientRequest(Box<ArrivingRequest>),
    /// A caller disconnected.
    CallerDisconnected(RequestNumber),
    /// The connect timeout of a connection to a backend expired.
    ConnectTimeout {
        /// Connection to close if it is not open yet.
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
        /// Connection on which the answer is sent.
        link: LinkNumber,
    },
}
