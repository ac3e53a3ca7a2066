//! One shard of the control state on this node: the replica and everything that hangs on it.

mod applying;
pub mod catalogue;
pub mod core;
mod feeding;
pub mod input;
pub mod load_snapshot_publisher;
pub mod maintenance;
pub mod members;
pub mod move_events;
pub mod output;
pub mod placement_controller;
pub mod proposals;
pub mod quota_service;
pub mod reads;
mod recovery;
pub mod repair;
pub mod replica_status;
mod serving;
pub mod subscriptions;

pub use core::{ShardCore, ShardCoreOptions};
pub use input::ShardInput;
pub use members::{MemberStatus, MemberView};
pub use output::ShardOutput;
pub use replica_status::ShardReplicaStatus;
