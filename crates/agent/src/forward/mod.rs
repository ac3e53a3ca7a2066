//! Claims and settlements of the proxy, sent to the tenants' shards until they are answered.

pub mod answer;
pub mod claims;
pub mod settles;

pub use claims::ClaimDesk;
pub use settles::SettleDesk;
