//! Inputs of simulated processes.

use millford_control::operator::OperatorRequest;

use crate::history::RequestNumber;
use crate::network::{LinkNumber, Packet};
use crate::world::client_request::ArrivingRequest;

/// Something that a process has to handle.
#[derive(Clone, Debug)]
pub enum ProcessInput {
    /// A connection that the process opened or accepted is up.
    LinkOpened {
        /// The connection.
        link: LinkNumber,
        /// Whether the process accepted it.
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
    /// Time passes.
    Tick,
    /// A timer of a request is due.
    Timer,
    /// The registry's list arrived, as it was at the reading.
    Registry,
    /// A request of an operator arrived.
    Operator {
        /// Number that the reply carries.
        request: u64,
        /// The request.
        body: Box<OperatorRequest>,
    },
    /// A client request arrived.
    ClientRequest(Box<ArrivingRequest>),
    /// A caller disconnected.
    CallerDisconnected(RequestNumber),
    /// A connection should be open by now.
    ConnectOverdue {
        /// The connection.
        link: LinkNumber,
    },
    /// A probe should be answered by now.
    ProbeOverdue {
        /// Its connection.
        link: LinkNumber,
    },
    /// The proxy connects to its agent again.
    Reconnect,
    /// A backend continues the answer on a connection.
    Work {
        /// The connection.
        link: LinkNumber,
    },
}
