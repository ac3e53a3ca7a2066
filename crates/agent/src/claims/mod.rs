//! Claims of the proxy and their outcomes, sent to the tenants' shards until they are answered.

pub mod claim_client;
pub mod claim_resolver;

pub use claim_client::ClaimClient;
pub use claim_resolver::ClaimResolver;
