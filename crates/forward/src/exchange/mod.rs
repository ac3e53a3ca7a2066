//! Datagrams between proxies: token usage, and the messages of [`crate::load`], [`crate::prefix_index`] and
//! [`crate::quota`]. In a small fleet token usage is sent to every peer; everything else is sent to owners.
//!
//! Counts are absolute, so that the next datagram makes up for a lost one. The list of peers is part of the
//! routing table, which the node receives through its feed.

pub mod exchange_task;
pub mod peer_sequences;
pub mod usage_messages;

pub use exchange_task::run;
pub use peer_sequences::PeerSequences;
