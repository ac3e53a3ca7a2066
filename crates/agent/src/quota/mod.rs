//! Slices of the tenants' quotas that the shard leaders lend to this node.

pub mod desk;
pub mod lease;
pub mod request_book;
pub mod slot_hold;
pub mod tenant_slice;
pub mod waiter;

pub use desk::{QuotaDesk, QuotaTally};
pub use lease::TokenLease;
pub use request_book::RequestBook;
pub use tenant_slice::TenantSlice;
pub use waiter::Waiter;
