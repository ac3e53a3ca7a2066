//! Token quotas of tenants, held over all nodes together.
//!
//! In a small fleet every node keeps each tenant's whole bucket: it takes its own admissions out at
//! once and those of its peers when they tell of them. In a larger one two nodes of each zone own a
//! tenant's bucket: nodes ask an owner of their zone before each admission, and owners tell each other
//! what they granted. `docs/design/forwarding.md` weighs this against the leases of `docs/QUOTA.md`.

pub mod cluster_bucket;
pub mod grant;
pub mod level_estimate;
pub mod peer_usage;
pub mod quota_client;
pub mod tenant_quotas;
pub mod usage_meter;

pub use cluster_bucket::{BucketFigures, ClusterBucket};
pub use grant::Grant;
pub use level_estimate::{DegradedReason, FleetSize, LevelEstimate};
pub use peer_usage::PeerUsage;
pub use quota_client::QuotaClient;
pub use tenant_quotas::{PeerCount, TenantLevel, TenantQuotas};
pub use usage_meter::UsageMeter;
