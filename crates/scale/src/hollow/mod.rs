//! Hollow nodes: the agent's real code with a generator of traffic in the proxy's place.

pub mod hollow_node;
pub mod hollow_proxy;
pub mod revision_arrivals;
pub mod traffic;

pub use hollow_node::HollowNode;
pub use revision_arrivals::RevisionArrivals;
pub use traffic::{TrafficCounts, TrafficShape};
