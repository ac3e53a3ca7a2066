//! Stand-in for a backend: the message form of the backend protocol.

pub mod answering;
pub mod backend_process;
pub mod mark;

pub use answering::Answering;
pub use backend_process::BackendProcess;
pub use mark::{mark_of, read_marks};
