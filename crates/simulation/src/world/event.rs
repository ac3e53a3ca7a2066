//! Events of the simulation.

use crate::history::{Chunk, RequestEnd, RequestNumber};
use crate::network::{Direction, LinkNumber, Packet, ProcessId};
use crate::world::process_input::ProcessInput;

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A process receives an input.
    Input {
        /// Process that receives the input.
        process: ProcessId,
        /// Incarnation that the input is for; another one ignores it.
        incarnation: u64,
        /// Input to handle; it is queued while the process is frozen or busy.
        input: ProcessInput,
    },
    /// A process may be able to handle its queued inputs again.
    Ready {
        /// Process whose queued inputs are handled.
        process: ProcessId,
        /// Incarnation that was busy or frozen.
        incarnation: u64,
    },
    /// A connection request reaches the acceptor.
    Connect {
        /// Connection that is being opened.
        link: LinkNumber,
        /// Number of earlier connection requests without an answer.
        attempts: u32,
    },
    /// The next packet of a connection arrives.
    Arrive {
        /// Connection that the packet was sent on.
        link: LinkNumber,
        /// Direction in which the packet was sent.
        direction: Direction,
    },
    /// A process sends a packet that waited for a sync of its disk.
    SendLater {
        /// Process that sends the packet.
        process: ProcessId,
        /// Incarnation that produced the packet; another one does not send it.
        incarnation: u64,
        /// Connection to send the packet on.
        link: LinkNumber,
        /// Packet that waited for the sync.
        packet: Box<Packet>,
    },
    /// A process starts.
    Start {
        /// Process to start; nothing happens if it already runs.
        process: ProcessId,
    },
    /// A planned fault begins.
    FaultBegins {
        /// Number of the planned fault, from 0.
        fault: usize,
    },
    /// An active fault ends.
    FaultEnds {
        /// Number of the active fault, from 1.
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
        /// Control node or agent that reads.
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
        /// Kind of end, as observed by the caller.
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
        /// Number of the operator's request, unique in a run.
        request: u64,
    },
    /// The reply to a request is overdue, or the request is to be sent to another node.
    Timeout {
        /// Number of the operator's request, unique in a run.
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
        /// Number of the backend, from 1.
        backend: u16,
    },
    /// The registry removes a backend, unless it runs again.
    Remove {
        /// Number of the backend, from 1.
        backend: u16,
    },
    /// A retired backend shuts down.
    ShutDown {
        /// Number of the backend, from 1.
        backend: u16,
    },
}
