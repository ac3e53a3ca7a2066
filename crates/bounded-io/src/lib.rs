//! Bounds on the memory and time that the peer of a connection decides on.
//!
//! A peer decides how many bytes it sends, how it frames them and when it stops. Each reader has a bound for its
//! connection, and all readers of a process share one [`MemoryBudget`].

mod admitted_buffer;
mod bounded_buffer;
mod http_client;
mod http_server;
mod log_throttle;
mod memory_budget;
mod memory_limit;
mod read_allowance;
mod stalled_write;

pub use admitted_buffer::AdmittedBuffer;
pub use bounded_buffer::{BoundedBuffer, BufferError, BufferReservation, HeldBytes};
pub use http_client::{
    BoundedHttpClient, ClientConnection, FetchError, MIN_HEAD_BYTES, is_framing_excess, open_http,
};
pub use http_server::{ServerBounds, refuse_connection, serve_connections, unavailable};
pub use log_throttle::LogThrottle;
pub use memory_budget::{BudgetError, MemoryBudget, Reader, Reservation, Source};
pub use memory_limit::MemoryLimit;
pub use read_allowance::{AllowanceStream, ReadAllowance};
pub use stalled_write::StalledWriteStream;
