//! Quotas of tenants, held by the leader of the tenant's shard and lent to the nodes in slices.
//!
//! # What holds
//! Counted from the moment of lending for tokens that a waiting request asked for, and from the
//! moment of spending for spare ones, a tenant's requests in any window are at most its burst and
//! what its rate gives in that window, over all nodes, lost nodes, lost replies and changes of
//! leader included. A tenant under that is never refused; at worst its requests wait while idle
//! slices are called back. The argument stands at the code: [`account`] for one leader,
//! [`ledger`] for the change of leaders.

mod account;
mod bucket;
mod ledger;
mod member_slice;
mod options;
mod output;
mod replies;
mod slots;
mod tenant_account;

pub use ledger::QuotaLeases;
pub use options::{QUOTA_LEASE, QuotaOptions, STEP_DOWN_BOUND};
pub use output::QuotaOutput;
