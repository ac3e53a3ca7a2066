//! Kernel of the discrete-event simulation: event queue, process clocks, trace hash.

pub mod clock;
pub mod event_queue;
pub mod trace_hash;

pub use clock::ProcessClock;
pub use event_queue::EventQueue;
pub use trace_hash::TraceHash;
