//! The request path: one async function handles a request from start to end.
//!
//! [`completion::serve_completion`] and [`lookup::serve_lookup`] run the steps in order; the other
//! modules implement the steps. All access to the clock, the agent and the backends goes through
//! [`environment::RequestEnvironment`], so that the simulator runs the same code.

pub mod admit;
pub mod attempt;
pub mod authenticate;
pub mod caller;
pub mod chat_request;
pub mod choose_backend;
pub mod chunk;
pub mod chunk_reader;
pub mod claim_guard;
pub mod completion;
pub mod deadline;
pub mod environment;
pub mod failure;
pub mod first_answer;
pub mod lookup;
pub mod message;
pub mod move_stream;
pub mod plain_body;
pub mod plan;
pub mod quota_guard;
pub mod record;
pub mod refusal;
pub mod relay;
pub mod reply;
mod request_scope;
mod run_cost;
pub mod send_progress;
pub mod sse;
pub mod stream_watch;
pub mod unserved;
pub mod wait;
