//! The replicated state machine of one shard.

mod applied;
mod catalogue;
mod claim_table;
mod configuration;
mod control_members;
mod kept_claim;
mod order_record;
mod placements;
mod public_state;
mod restore_error;
mod session_registry;
mod shard_machine;
mod short_hash;
mod snapshot;

pub use applied::Applied;
pub use claim_table::CLAIM_RETENTION_MS;
pub use order_record::ORDER_RECORD_LIMIT;
pub use restore_error::RestoreError;
pub use shard_machine::ShardMachine;
