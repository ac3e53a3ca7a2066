//! Inputs of simulated processes.

use millford_control::operator::OperatorRequest;

use crate::history::RequestNumber;
use crate::network::{LinkNumber, Packet};
use crate::world::callers::ArrivingRequest;

/// Something that a process has to deal with.
#[derive(Clone, Debug)]
pub enum ProcessInput {
    /// A connection that the process opened or accepted is up.
    LinkOpened {
        link: LinkNumber,
        /// Whether the process accepted it.
        accepted: bool,
    },
    /// A connection ended or could not be opened.
    LinkClosed { link: LinkNumber },
    /// A message arrived.
    Packet { link: LinkNumber, packet: Packet },
    /// Time passes.
    Tick,
    /// A timer of a request is due.
    Timer,
    /// The registry's list arrived, as it was at the reading.
    Registry,
    /// A request of an operator arrived.
    Operator {
        request: u64,
        body: Box<OperatorRequest>,
    },
    /// A caller's request arrived.
    Call(Box<ArrivingRequest>),
    /// A caller left.
    CallerGone(RequestNumber),
    /// A connection should be open by now.
    ConnectOverdue { link: LinkNumber },
    /// A probe should be answered by now.
    ProbeOverdue { link: LinkNumber },
    /// The proxy connects to its agent again.
    Reconnect,
    /// A backend goes on with the answer on a connection.
    Work { link: LinkNumber },
}
