//! Simulation of a backend: the message form of the backend protocol.

pub mod answering;
pub mod backend_process;
pub mod chunk_text;

pub use answering::Answering;
pub use backend_process::BackendProcess;
pub use chunk_text::{chunk_text, read_chunks};
