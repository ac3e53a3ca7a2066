//! Slices of the tenants' quotas that the shard leaders lend to this node.

pub mod ask_sent;
pub mod desk;
pub mod lease;
pub mod quota_tally;
pub mod request_book;
pub mod slice_answer;
pub mod slot_hold;
pub mod tenant_slice;
pub mod waiter;

pub use desk::QuotaClient;
pub use lease::TokenLease;
pub use quota_tally::QuotaTally;
pub use request_book::RequestBook;
pub use tenant_slice::TenantSlice;
pub use waiter::Waiter;
