//! Requests of operators and their replies, as described by `openapi/operator.json`.

pub mod failure;
pub mod reply;
pub mod request;
pub mod status;

pub use failure::OperatorFailure;
pub use reply::OperatorReply;
pub use request::OperatorRequest;
