//! The load of each backend, counted at one place and asked for before each choice.
//!
//! A picture that every node sends to every other node is old where there are many nodes, and its cost
//! grows with their square. Here each backend's counts have two owners among the proxies, by rendezvous
//! hashing. A node tells the owners whenever its work on the backend changes, and asks one of them
//! before it chooses: what it chooses by is one round trip old, at any number of nodes, and what
//! a node sends grows with its own requests only.

pub mod load_questions;
pub mod owner_ring;
pub mod round_trip;
pub mod shared_load;
pub mod work_ledger;

pub use load_questions::LoadQuestions;
pub use owner_ring::{Owner, OwnerRing};
pub use round_trip::RoundTrip;
pub use shared_load::SharedLoad;
pub use work_ledger::WorkLedger;
