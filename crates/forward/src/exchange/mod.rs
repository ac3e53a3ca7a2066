//! What the proxies tell each other directly, in datagrams: tokens admitted go to every peer; what
//! [`crate::load`] and [`crate::parts`] tell and ask goes to owners.
//!
//! Counts are absolute, so that a lost datagram is made good by the next one. Who the peers are
//! comes with the feed.

pub mod exchange_task;
pub mod news;
pub mod peer_table;
pub mod rotation;

pub use exchange_task::run;
pub use peer_table::PeerTable;
pub use rotation::Rotation;
