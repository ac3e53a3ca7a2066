//! Checkers: each verifies one guarantee of the system over the history of a run.

pub mod adoption;
pub mod answer_identity;
pub mod at_most_once;
pub mod check_results;
pub mod checker;
pub mod checker_set;
pub mod complete_answers;
pub mod connectivity_table;
pub mod drain;
pub mod durability;
pub mod figures;
pub mod guarantee;
pub mod key_secrecy;
pub mod not_run_truth;
pub mod one_winner;
pub mod quota;
pub mod recovery;
pub mod request_table;
pub mod revision_order;
pub mod revocation;
pub mod second_sends;
pub mod stream_continuity;
pub mod totals;

pub use check_results::{CheckResults, Violation};
pub use checker::Checker;
pub use checker_set::CheckerSet;
pub use figures::Figures;
pub use guarantee::Guarantee;
