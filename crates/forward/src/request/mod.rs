//! The request path: one function a request, read from top to bottom.
//!
//! [`serve()`] holds the order of the steps; the other modules are the steps.

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
