//! Simulated fleets that jointly enforce one tenant's quota, based on usage counts of a certain age.
//!
//! The token buckets, the estimates of peers' usage and degraded admission are the forwarding proxy's real
//! code; time, datagrams and their loss are simulated.

pub mod admissions;
pub mod fleet_quota;
pub mod owner_fleet;
pub mod peer_fleet;

pub use admissions::Admissions;
pub use owner_fleet::OwnerFleet;
pub use peer_fleet::PeerFleet;
