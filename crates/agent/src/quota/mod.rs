//! Quota leases: shares of the tenants' quotas that the shard leaders grant to this node for a
//! limited time.

pub mod client;
pub mod in_flight_requests;
pub mod quota_counts;
pub mod quota_decision;
pub mod slot_reservation;
pub mod stream_limit;
pub mod tenant_lease;
pub mod token_lease;
pub mod waiter;

pub use client::QuotaClient;
pub use in_flight_requests::InFlightRequests;
pub use quota_counts::QuotaCounts;
pub use stream_limit::StreamLimit;
pub use tenant_lease::TenantLease;
pub use token_lease::TokenLease;
pub use waiter::Waiter;
