//! Emulated callers: OpenAI bodies, streams and lookups, with what each call saw.

pub mod call;
pub mod http_client;
pub mod outcome;
pub mod request;
pub mod sse;

pub use call::{complete, look_up};
pub use outcome::{CallOutcome, Ending, PieceSeen};
pub use request::{CompletionRequest, LookupRequest};
