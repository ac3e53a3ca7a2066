//! Fleets that enforce one tenant's quota together, by usage counts of a certain age.
//!
//! The buckets, what peers assume of each other and degraded admission are the forwarding
//! proxy's own; time, datagrams and their loss are simulated.

pub mod admissions;
pub mod fleet_quota;
pub mod owner_fleet;
pub mod peer_fleet;

pub use admissions::Admissions;
pub use owner_fleet::OwnerFleet;
pub use peer_fleet::PeerFleet;
