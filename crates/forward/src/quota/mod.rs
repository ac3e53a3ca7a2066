//! Token quotas of tenants, held over all nodes together.
//!
//! Every node keeps each tenant's whole bucket: it takes its own admissions out at once and those
//! of its peers when they tell of them. `docs/design/forwarding.md` weighs this against the leases of
//! `docs/QUOTA.md`.

pub mod cluster_bucket;
pub mod peer_usage;
pub mod tenant_quotas;

pub use cluster_bucket::ClusterBucket;
pub use peer_usage::PeerUsage;
pub use tenant_quotas::{PeerCount, TenantLevel, TenantQuotas};
