//! Checks of the guarantees to users over the complete history of a run.

pub mod adoption;
pub mod answer_identity;
pub mod at_most_once;
pub mod credentials;
pub mod drain;
pub mod history;
pub mod not_run;
pub mod one_winner;
pub mod quota_limit;
pub mod quota_refusals;
pub mod recovery;
pub mod report;
pub mod revision_order;
pub mod revocation;
pub mod second_sends;
pub mod stream_continuity;
pub mod success_backed;
pub mod survival;
pub mod verdict;

pub use history::History;
pub use report::{Report, check_all};
pub use verdict::Verdict;
