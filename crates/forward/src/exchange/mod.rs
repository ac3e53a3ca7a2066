//! Datagrams between proxies: tokens admitted, and what [`crate::load`], [`crate::prefix_index`] and
//! [`crate::quota`] publish and request. In a small fleet tokens admitted go to every peer; all else goes to
//! owners.
//!
//! Counts are absolute, so that the next datagram makes up for a lost one. Who the peers are comes with the
//! feed.

pub mod exchange_task;
pub mod peer_sequences;
pub mod usage_messages;

pub use exchange_task::run;
pub use peer_sequences::PeerSequences;
