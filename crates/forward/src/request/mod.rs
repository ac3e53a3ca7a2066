//! The request path.
//!
//! [`serve()`] handles a request from start to end and calls the steps in order; the other modules implement
//! the steps.

pub mod answer_limit;
pub mod attempt;
pub mod authorize;
pub mod backend_stream;
pub mod candidates;
pub mod choose;
pub mod event_splitter;
pub mod first_response;
pub mod headers;
pub mod plan;
pub mod read_body;
pub mod refusal;
pub mod relay;
pub mod response_body;
pub mod serve;
pub mod trace;

pub use serve::serve;
