//! State that the proxies divide among themselves: each key has two owners, by rendezvous hashing.
//!
//! What every node sends to every other node is old where there are many nodes, and costs their square. Here
//! a node tells what it knows of a key to the key's owners only, and asks one of them when it needs the
//! sum: one round trip old, at a cost that grows with the node's own requests.
//!
//! Everything is soft state. Owners rebuild it from what nodes repeat, and a choice that gets no answer in
//! time goes by what the node knows itself.

pub mod by_owner;
pub mod owner_ring;
pub mod peer_link;
pub mod pending_requests;
pub mod round_trip;

pub use by_owner::{ByOwner, OwnerItems};
pub use owner_ring::{Owner, OwnerRing};
pub use peer_link::{InFlightRequests, PeerLink};
pub use pending_requests::{OwnerReply, PendingRequests};
pub use round_trip::RoundTrip;
