//! Plans: the effects of a configuration change, computed without applying it.
//!
//! A plan uses the same code as the fleet: the conversion of a document to items, the selection of
//! a pool's backends, and the routing table with its rendezvous hashing of sessions.

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
