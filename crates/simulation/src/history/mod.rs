//! What happened in a run, as the checkers see it.

pub mod call;
pub mod identifiers;
pub mod order;
pub mod record;

pub use call::{CallEnd, CallSent, Piece, Repeatability, ResumeRule};
pub use identifiers::{AttemptNumber, BackendNumber, CallNumber, ContentNumber, FrontNumber};
pub use order::{OrderAnswer, OrderNumber};
pub use record::Record;
