//! Records of routing decisions and the account of the worth that was lost by them.
//!
//! A record says why a backend was chosen, what was believed of it and what came. The account joins
//! the records of all nodes; its shares of the lost worth add up to one.

pub mod account;
pub mod attempt_record;
pub mod decision_record;
pub mod error;
pub mod reader;
pub mod verdict;

pub use account::{Account, Loss};
pub use attempt_record::{AttemptOutcome, AttemptRecord};
pub use decision_record::{DecisionRecord, Ending};
pub use error::DecisionsError;
pub use reader::{LOG_MARK, read_records};
pub use verdict::Verdict;
