//! Emulated backends: an HTTP server that implements the backend protocol and responds with the timing of
//! a model server.

pub mod attempts;
pub mod completion;
mod endless;
pub mod engine;
pub mod execution;
pub mod execution_log;
pub mod faults;
pub mod http;
pub mod lookup;
pub mod options;
pub mod prompt;
pub mod registration;
mod response_writer;
pub mod server;
pub mod shared_stream;
pub mod state;

pub use options::{BackendKind, BackendOptions};
pub use server::BackendServer;
