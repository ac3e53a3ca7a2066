//! State that the proxies divide among themselves: each key has two owners, by rendezvous hashing.
//!
//! What every node sends to every other node is stale where there are many nodes, and its cost grows with
//! their square. Here a node publishes what it knows of a key to the key's owners only, and requests the sum
//! from one of them when it needs it: one round trip old, at a cost that grows with the node's own requests.
//!
//! Everything is soft state. Owners rebuild it from what nodes republish, and a choice that gets no reply in
//! time goes by what the node knows itself.

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
