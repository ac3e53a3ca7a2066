//! Cluster membership: sessions of agents and control nodes, formation of the control cluster and its
//! members.
//!
//! This crate does no I/O and reads no clock: callers pass the time and received messages, and carry out
//! the returned decisions.

pub mod formation;
pub mod member_directory;
pub mod replica_group;
pub mod session_table;

pub use formation::{Formation, FormationDecision, SeedResponse};
pub use member_directory::MemberDirectory;
pub use replica_group::replica_group;
pub use session_table::{ExpiredSession, SessionTable};
