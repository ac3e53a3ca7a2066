//! Events of the simulation.

use crate::history::{Chunk, RequestEnd, RequestNumber};
use crate::network::{Direction, LinkNumber, Packet, ProcessId};
use crate::world::process_input::ProcessInput;

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A process receives an input.
    Input {
        /// The receiving process.
        process: ProcessId,
        /// Incarnation that the input is for; another one ignores it.
        incarnation: u64,
        /// The input.
        input: ProcessInput,
    },
    /// A process may be able to handle its queued inputs again.
    Ready {
        /// The process.
        process: ProcessId,
        /// Incarnation that was busy or frozen.
        incarnation: u64,
    },
    /// A connection request reaches the acceptor.
    Connect {
        /// The connection.
        link: LinkNumber,
        /// Number of earlier connection requests without an answer.
        attempts: u32,
    },
    /// The next packet of a connection arrives.
    Arrive {
        /// The connection.
        link: LinkNumber,
        /// Direction of the packet.
        direction: Direction,
    },
    /// A process sends a packet that waited for a sync of its disk.
    SendLater {
        /// The sending process.
        process: ProcessId,
        /// Incarnation that produced the packet; another one does not send it.
        incarnation: u64,
        /// The connection.
        link: LinkNumber,
        /// The packet.
        packet: Box<Packet>,
    },
    /// A process starts.
    Start {
        /// The process.
        process: ProcessId,
    },
    /// A planned fault begins.
    FaultBegins {
        /// Number of the planned fault.
        fault: usize,
    },
    /// An active fault ends.
    FaultEnds {
        /// Number of the active fault.
        fault: u32,
    },
    /// A caller sends a new request.
    CallerSends {
        /// Whether the request is a lookup.
        lookup: bool,
    },
    /// A caller sends a request again.
    CallerResends {
        /// Number of the earlier send.
        client_request: RequestNumber,
    },
    /// A part of an answer reaches a caller.
    CallerReceives {
        /// The request that is answered.
        client_request: RequestNumber,
        /// The part of the answer.
        delivery: CallerDelivery,
    },
    /// A caller stops waiting for an answer.
    CallerTimeout {
        /// The request that is not answered.
        client_request: RequestNumber,
    },
    /// An event of the operators.
    Operator(OperatorEvent),
    /// A change of the registry's list.
    Registry(RegistryEvent),
    /// A process reads the registry.
    ReadRegistry {
        /// The process.
        process: ProcessId,
        /// Incarnation that reads; another one does not.
        incarnation: u64,
    },
}

/// A part of an answer that reaches a caller.
#[derive(Clone, Copy, Debug)]
pub enum CallerDelivery {
    /// A chunk of the answer.
    Chunk(Chunk),
    /// The end of the answer.
    End {
        /// Kind of end.
        end: RequestEnd,
        /// Configuration revision in the head of the answer; absent without a head.
        revision: Option<u64>,
    },
}

impl CallerDelivery {
    /// Returns the end of a request whose connection was lost or whose caller timed out.
    #[must_use]
    pub fn lost() -> Self {
        Self::End {
            end: RequestEnd::Lost,
            revision: None,
        }
    }
}

/// Events of operators.
#[derive(Clone, Copy, Debug)]
pub enum OperatorEvent {
    /// The next order is due.
    NextOrder,
    /// The next read of the configuration is due.
    NextRead,
    /// The reply to a request arrives.
    Reply {
        /// Number of the request.
        request: u64,
    },
    /// The reply to a request is overdue, or the request is to be sent to another node.
    Timeout {
        /// Number of the request.
        request: u64,
    },
    /// Every accepted order is to be sent again.
    ResendAll,
}

/// Events of the registry.
#[derive(Clone, Copy, Debug)]
pub enum RegistryEvent {
    /// A backend registers.
    Register {
        /// Number of the backend.
        backend: u16,
    },
    /// The registry removes a backend, unless it runs again.
    Remove {
        /// Number of the backend.
        backend: u16,
    },
    /// A retired backend shuts down.
    ShutDown {
        /// Number of the backend.
        backend: u16,
    },
}
