//! Records of routing decisions, and a report of the request value that was lost by reason.
//!
//! A record contains the estimates by which each backend was chosen, and the outcome. Every request has
//! a value of 1, of which a late or failed one loses a share. The report combines the records of all
//! nodes; the shares of the lost value in each grouping add up to one.

pub mod attempt_record;
pub mod decision_record;
pub mod error;
pub mod loss_report;
pub mod reader;
pub mod verdict;

pub use attempt_record::{AttemptOutcome, AttemptRecord};
pub use decision_record::{DecisionRecord, Ending};
pub use error::DecisionsError;
pub use loss_report::{Loss, LossReport};
pub use reader::{LOG_MARK, read_records};
pub use verdict::Verdict;
