//! State machines of the shards: configuration orders, claims, sessions, backend catalogue, quotas.
//!
//! The crate does no input or output and reads neither clocks nor random numbers. The same commands
//! in the same order result in the same state on every replica.

pub mod document;
pub mod keys;
pub mod machine;
pub mod planner;
pub mod quota;
pub mod selection;

pub use machine::{Applied, RestoreError, ShardMachine};
