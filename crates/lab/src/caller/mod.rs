//! Emulated callers: `OpenAI` bodies, streams and lookups, with what each request saw.

pub mod exchange;
pub mod http_client;
pub mod outcome;
pub mod request;
pub mod sse;

pub use exchange::{complete, look_up};
pub use outcome::{Ending, ReceivedChunk, RequestOutcome};
pub use request::{CompletionRequest, LookupRequest};
