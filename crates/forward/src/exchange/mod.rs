//! What the proxies tell each other directly, in datagrams: tokens admitted, and what
//! [`crate::load`] and [`crate::prefix_index`] tell and ask. In a small fleet tokens admitted go to every peer;
//! all else goes to owners.
//!
//! Counts are absolute, so that a lost datagram is made good by the next one. Who the peers are
//! comes with the feed.

pub mod exchange_task;
pub mod peer_sequences;
pub mod usage_messages;

pub use exchange_task::run;
pub use peer_sequences::PeerSequences;
