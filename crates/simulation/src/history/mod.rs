//! History of a run: the records that the checkers evaluate.

pub mod client_request;
pub mod identifiers;
pub mod order;
pub mod record;

pub use client_request::{Chunk, Repeatability, RequestEnd, RequestSent, ResumeRule};
pub use identifiers::{
    AttemptNumber, BackendNumber, ContentNumber, ProxyNodeNumber, RequestNumber,
};
pub use order::{OrderAnswer, OrderNumber};
pub use record::Record;
