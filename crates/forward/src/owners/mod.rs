//! State that is partitioned among the proxies: each key has two owners, selected by rendezvous hashing.
//!
//! State that every node sends to every other node becomes stale in a large fleet, and its cost grows with the
//! square of the number of nodes. Instead, a node publishes its state of a key to the key's owners only, and
//! requests the sum from one of them when it needs it. The sum is then one round trip old, and the cost grows with
//! the node's own requests.
//!
//! All of this is soft state. Owners rebuild it from what nodes republish, and a choice without a reply in time
//! uses the node's local state.

pub mod by_owner;
pub mod owner_ring;
pub mod peer_link;
pub mod pending_requests;
pub mod round_trip;

pub use by_owner::{ByOwner, OwnerItems};
pub use owner_ring::{Owner, OwnerRing};
pub use peer_link::{InFlightRequests, OwnerRoute, PeerLink, RefreshedRing};
pub use pending_requests::{OwnerReply, PendingRequests};
pub use round_trip::RoundTrip;
