//! The proxy's claims and their outcomes, which are sent to the tenants' shards until they are
//! answered. A claim reserves one run of a request.

pub mod claim_client;
pub mod claim_resolver;

pub use claim_client::ClaimClient;
pub use claim_resolver::ClaimResolver;
