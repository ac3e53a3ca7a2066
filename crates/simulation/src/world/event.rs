//! Events of the simulated site.

use crate::history::{Chunk, RequestEnd, RequestNumber};
use crate::network::{Direction, LinkNumber, Packet, ProcessId};
use crate::world::process_input::ProcessInput;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A process gets an input.
    Input {
        process: ProcessId,
        incarnation: u64,
        input: ProcessInput,
    },
    /// A process may be free again.
    Ready {
        process: ProcessId,
        incarnation: u64,
    },
    /// A connection request reaches the other side.
    Connect { link: LinkNumber, attempts: u32 },
    /// The next message of a connection arrives.
    Arrive {
        link: LinkNumber,
        direction: Direction,
    },
    /// A process sends what waited for its disk.
    SendLater {
        process: ProcessId,
        incarnation: u64,
        link: LinkNumber,
        packet: Box<Packet>,
    },
    /// A process starts.
    Start { process: ProcessId },
    /// A fault of the scenario or of a draw begins.
    FaultBegins { fault: usize },
    /// A running fault ends.
    FaultEnds { active: u32 },
    /// A caller sends its next request.
    CallerSends { lookup: bool },
    /// A caller sends a request again.
    CallerResends { client_request: RequestNumber },
    /// A chunk or the end reaches a caller.
    CallerReceives {
        client_request: RequestNumber,
        chunk: Option<Chunk>,
        end: Option<(RequestEnd, Option<u64>)>,
    },
    /// A caller gives up waiting.
    CallerTimeout { client_request: RequestNumber },
    /// An operator works on an order or a read.
    Operator(OperatorEvent),
    /// The registry's list changes.
    Registry(RegistryEvent),
    /// Each control node reads the registry.
    ReadRegistry {
        process: ProcessId,
        incarnation: u64,
    },
}

/// Events of operators.
#[derive(Clone, Debug)]
pub enum OperatorEvent {
    /// It is time for an order.
    NextOrder,
    /// It is time for a read.
    NextRead,
    /// An answer arrives.
    Answer { request: u64 },
    /// No answer came.
    Timeout { request: u64 },
    /// Every accepted order is sent again.
    ResendAll,
}

/// Events of the registry.
#[derive(Clone, Copy, Debug)]
pub enum RegistryEvent {
    /// A backend registers.
    Register { backend: u16 },
    /// The list drops a backend that vanished.
    Remove { backend: u16 },
    /// A retired backend shuts down.
    ShutDown { backend: u16 },
}
