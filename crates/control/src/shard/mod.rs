//! One shard of the control state on this node: the replica, and the services that run on it.
//!
//! [`ShardCore`] routes inputs to its parts. Each part owns its state, takes everything else as
//! arguments and returns its outputs:
//!
//! | part | owns |
//! |---|---|
//! | `shard_replica` | the consensus replica, its storage, the proposals in flight |
//! | `applied_state` | the replicated state machine |
//! | `feed_service` | the feed's history and subscribers, waiting subscriptions |
//! | `reads` | reads that wait for confirmation |
//! | `session_service` | the lease deadlines of sessions, on the leader |
//! | `group_repair` | the control nodes, and which of them are unresponsive |
//! | `catalogue_reconciler` | the configuration's pools and the registry as last read |
//! | `quota_service` | the quota leases of the shard's tenants |
//! | `placement_controller` | the placers of the shard's pools, the load snapshots |
//! | `maintenance` | the timers of periodic maintenance |
//! | `replica_status` | the status as last reported to the gateway |

mod applied_state;
mod catalogue_reconciler;
pub mod core;
mod feed_service;
mod group_repair;
pub mod input;
pub mod load_snapshot_publisher;
pub mod maintenance;
pub mod members;
pub mod move_events;
pub mod options;
pub mod output;
mod periodic_timer;
mod placement_controller;
mod proposals;
mod quota_service;
mod reads;
mod recovery;
pub mod repair;
pub mod replica_status;
mod replies;
mod session_service;
mod shard_replica;
mod subscriptions;

pub use core::ShardCore;
pub use input::ShardInput;
pub use members::{Departure, MemberStatus, MemberView};
pub use options::ShardCoreOptions;
pub use output::ShardOutput;
pub use replica_status::ShardReplicaStatus;
