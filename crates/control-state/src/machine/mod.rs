//! Replicated state machine of one shard.

mod applied;
mod catalogue;
mod claim_table;
mod configuration;
mod control_members;
mod order_history;
mod placements;
mod public_state;
mod restore_error;
mod session_registry;
mod shard_machine;
mod short_hash;
mod snapshot;
mod stored_claim;

pub use applied::Applied;
pub use claim_table::CLAIM_RETENTION_MS;
pub use order_history::ORDER_HISTORY_LIMIT;
pub use restore_error::RestoreError;
pub use shard_machine::ShardMachine;
