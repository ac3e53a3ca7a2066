//! Events of the simulated site.

use crate::history::{Chunk, RequestEnd, RequestNumber};
use crate::network::{Direction, LinkNumber, Packet, ProcessId};
use crate::world::process_input::ProcessInput;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A process gets an input.
    Input {
        /// The process.
        process: ProcessId,
        /// The incarnation that it is meant for.
        incarnation: u64,
        /// The input.
        input: ProcessInput,
    },
    /// A process may be free again.
    Ready {
        /// The process.
        process: ProcessId,
        /// The incarnation that was busy or frozen.
        incarnation: u64,
    },
    /// A connection request reaches the other side.
    Connect {
        /// The connection.
        link: LinkNumber,
        /// Earlier attempts that got no answer.
        attempts: u32,
    },
    /// The next packet of a connection arrives.
    Arrive {
        /// The connection.
        link: LinkNumber,
        /// The direction in which it travels.
        direction: Direction,
    },
    /// A process sends what waited for its disk.
    SendLater {
        /// The process.
        process: ProcessId,
        /// The incarnation that wrote it.
        incarnation: u64,
        /// The connection.
        link: LinkNumber,
        /// What it sends.
        packet: Box<Packet>,
    },
    /// A process starts.
    Start {
        /// The process.
        process: ProcessId,
    },
    /// A planned fault begins.
    FaultBegins {
        /// Its number among the planned faults.
        fault: usize,
    },
    /// An active fault ends.
    FaultEnds {
        /// Its number among the active faults.
        fault: u32,
    },
    /// A caller sends its next request.
    CallerSends {
        /// Whether it is a lookup.
        lookup: bool,
    },
    /// A caller sends a request again.
    CallerResends {
        /// The earlier send.
        client_request: RequestNumber,
    },
    /// A chunk or the end reaches a caller.
    CallerReceives {
        /// The request that is answered.
        client_request: RequestNumber,
        /// What arrives.
        delivery: CallerDelivery,
    },
    /// A caller gives up waiting.
    CallerTimeout {
        /// Its request.
        client_request: RequestNumber,
    },
    /// An operator works on an order or a read.
    Operator(OperatorEvent),
    /// The registry's list changes.
    Registry(RegistryEvent),
    /// A process reads the registry.
    ReadRegistry {
        /// The process.
        process: ProcessId,
        /// The incarnation that reads.
        incarnation: u64,
    },
}

/// What reaches a caller of an answer.
#[derive(Clone, Copy, Debug)]
pub enum CallerDelivery {
    /// A chunk.
    Chunk(Chunk),
    /// The end.
    End {
        /// How the request ended.
        end: RequestEnd,
        /// Revision that the head named.
        revision: Option<u64>,
    },
}

impl CallerDelivery {
    /// The connection broke, or the caller gave up.
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
    /// It is time for an order.
    NextOrder,
    /// It is time for a read.
    NextRead,
    /// A reply arrives.
    Reply {
        /// Number of the request.
        request: u64,
    },
    /// No reply came.
    Timeout {
        /// Number of the request.
        request: u64,
    },
    /// Every accepted order is sent again.
    ResendAll,
}

/// Events of the registry.
#[derive(Clone, Copy, Debug)]
pub enum RegistryEvent {
    /// A backend registers.
    Register {
        /// Its number.
        backend: u16,
    },
    /// The list drops a backend that vanished.
    Remove {
        /// Its number.
        backend: u16,
    },
    /// A retired backend shuts down.
    ShutDown {
        /// Its number.
        backend: u16,
    },
}
