//! Quotas of tenants, kept by the leader of the tenant's shard and leased to the nodes.
//!
//! # Guarantee
//! Counted from the moment of granting for tokens that a waiting request requested, and from the
//! moment of spending for surplus ones, a tenant's requests in any window are at most its burst and
//! what its rate yields in that window, over all nodes, lost nodes, lost replies and changes of
//! leader included. A tenant under that is never refused; at worst its requests wait while idle
//! tokens are recalled. The argument stands at the code: `token_account` for one leader,
//! `leases` for the change of leaders, `slot_leases` for stream slots.

mod bucket;
mod demand_window;
mod leases;
mod member_lease;
mod options;
mod outage_credit;
mod output;
mod recall;
mod reply_cache;
mod slot_leases;
mod takeover;
mod tenant_account;
mod token_account;

pub use leases::QuotaLeases;
pub use options::{
    INACTIVE_SLOT_TIMEOUT, QUOTA_LEASE, QuotaOptions, RECALL_RETRY_DELAY, STEP_DOWN_BOUND,
    SWEEP_INTERVAL, TAKEOVER_UNCERTAINTY,
};
pub use output::QuotaOutput;
