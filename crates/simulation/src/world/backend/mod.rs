//! Simulated backends, which answer messages of the backend protocol.

pub mod answering;
pub mod backend_process;
pub mod chunk_text;
pub mod recent_runs;
pub mod request_text;

pub use answering::{Answering, attempt_number, run_number};
pub use backend_process::{BackendKind, BackendProcess};
pub use chunk_text::{chunk_text, read_chunks};
pub use recent_runs::RecentRuns;
