//! One shard of the control state on this node: the replica and everything that hangs on it.

mod applying;
pub mod catalogue;
pub mod core;
mod feeding;
pub mod input;
pub mod members;
pub mod move_notes;
pub mod output;
pub mod picture_feed;
pub mod placement_role;
pub mod proposals;
pub mod quota_desk;
pub mod reads;
mod recovery;
pub mod repair;
mod serving;
pub mod standing;
pub mod subscriptions;
pub mod upkeep;

pub use core::{ShardCore, ShardCoreOptions};
pub use input::ShardInput;
pub use members::{MemberStanding, MemberView};
pub use output::ShardOutput;
pub use standing::ShardStanding;
