//! Membership: sessions of agents and control nodes, and the members of the control cluster.
//!
//! Everything here is pure: time and messages come in, decisions go out.

pub mod formation;
pub mod member_directory;
pub mod replica_group;
pub mod session_table;

pub use formation::{Formation, FormationDecision, SeedResponse};
pub use member_directory::MemberDirectory;
pub use replica_group::replica_group;
pub use session_table::{ExpiredSession, SessionTable};
