//! Tenants' quotas: the leader of a tenant's shard accounts for them and leases tokens and stream
//! slots to the nodes.
//!
//! # Guarantee
//! In any window, a tenant's requests over all nodes are at most its burst plus what its rate
//! yields in that window, also when nodes fail, replies are lost or the leader changes. A token
//! granted for a waiting request counts when it is granted, a surplus token when it is spent. A
//! tenant within that bound is never refused; at worst its requests wait while idle tokens are
//! recalled. The modules contain the arguments: `token_account` for one leader, `leases` for
//! changes of leader, `slot_leases` for stream slots.

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
