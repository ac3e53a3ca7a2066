//! What a change of configuration moves, computed without applying it.
//!
//! The same functions decide here and in the fleet: the items of a document, the selection of a
//! pool's backends, and the routing table with its rendezvous homes.

mod catalogue;
mod document_changes;
mod plan;
mod replica_moves;
mod sample;
mod session_moves;
mod warnings;

pub use catalogue::PlanCatalogue;
pub use plan::plan;
pub use sample::{SAMPLED_SESSIONS, sample_sessions};
