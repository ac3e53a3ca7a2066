//! Pooled connections to backends, and health checks of backends.

pub mod bulk_turns;
pub mod connection;
pub mod connection_pools;
pub mod excess;
pub mod health_watch;

pub use bulk_turns::BulkTurns;
pub use connection::Connection;
pub use connection_pools::{AcquireError, ConnectionPools, PooledConnection};
pub use excess::Excess;
