//! What the proxies tell each other directly, in datagrams: tokens admitted, where prompt parts were
//! read, and what [`crate::load`] tells and asks.
//!
//! Counts are absolute, so that a lost datagram is made good by the next one. Who the peers are
//! comes with the feed.

pub mod exchange_task;
pub mod news;
pub mod peer_table;

pub use exchange_task::run;
pub use peer_table::PeerTable;
