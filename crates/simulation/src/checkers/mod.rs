//! Checkers: each verifies one guarantee of the system over the history of a run.

pub mod adoption;
pub mod answer_identity;
pub mod at_most_once;
pub mod checker;
pub mod complete_answers;
pub mod connectivity_table;
pub mod drain;
pub mod durability;
pub mod figures;
pub mod guarantee;
pub mod key_secrecy;
pub mod not_run_truth;
pub mod one_winner;
pub mod panel;
pub mod quota;
pub mod recovery;
pub mod request_table;
pub mod revision_order;
pub mod revocation;
pub mod second_sends;
pub mod stream_continuity;
pub mod totals;
pub mod verdict;

pub use checker::Checker;
pub use figures::Figures;
pub use guarantee::Guarantee;
pub use panel::Checkers;
pub use verdict::{Verdict, Violation};
