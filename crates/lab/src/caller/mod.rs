//! Emulated callers, which send completions with `OpenAI` bodies and lookups, and record the outcomes.

pub mod exchange;
pub mod http_client;
pub mod outcome;
pub mod request;
pub mod sse;

pub use exchange::{complete, look_up};
pub use outcome::{Ending, ReceivedChunk, RequestOutcome};
pub use request::{CompletionRequest, LookupRequest};
