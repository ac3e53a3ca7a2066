//! Token quotas of tenants, enforced over all nodes together.
//!
//! In a small fleet every node keeps a complete bucket for each tenant. It charges its own admissions at once and
//! those of its peers when they report them. In a larger fleet two nodes of each zone own a tenant's bucket. The
//! other nodes request each admission from an owner in their zone, and the owners report to each other what they
//! granted. `docs/design/forwarding.md` compares this with the leases of `docs/QUOTA.md`.

pub mod cluster_bucket;
pub mod grant;
pub mod level_estimate;
pub mod peer_usage;
pub mod quota_client;
pub mod quota_service;
pub mod tenant_quotas;
pub mod tenant_state;
pub mod usage_meter;

pub use cluster_bucket::{BucketParameters, ClusterBucket};
pub use grant::Grant;
pub use level_estimate::{DegradedReason, FleetSize, LevelEstimate};
pub use peer_usage::PeerUsage;
pub use quota_client::{QuotaClient, QuotaOwners};
pub use tenant_quotas::TenantQuotas;
pub use tenant_state::{PeerCount, TenantLevel};
pub use usage_meter::UsageMeter;
