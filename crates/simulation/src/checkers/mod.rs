//! Checks of the promises over the whole history.

pub mod adoption;
pub mod answer_identity;
pub mod at_most_once;
pub mod call_table;
pub mod checker;
pub mod complete_answers;
pub mod drain;
pub mod durability;
pub mod figures;
pub mod key_secrecy;
pub mod not_run_truth;
pub mod one_winner;
pub mod panel;
pub mod promise;
pub mod quota;
pub mod recovery;
pub mod revision_order;
pub mod revocation;
pub mod second_sends;
pub mod stream_continuity;
pub mod totals;
pub mod touch_table;
pub mod verdict;

pub use checker::Checker;
pub use figures::Figures;
pub use panel::Checkers;
pub use promise::Promise;
pub use verdict::{Verdict, Violation};
