//! State machines of the shards: configuration orders, claims, sessions, catalogue, quota.
//!
//! Everything here is pure: no input or output, no clock, no randomness. The same commands in the
//! same order give the same state on every replica.

pub mod document;
pub mod keys;
pub mod machine;
pub mod planner;
pub mod quota;
pub mod selection;

pub use machine::{Applied, RestoreError, ShardMachine};
