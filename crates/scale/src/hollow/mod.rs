//! Simulated nodes: the agent's real code with a traffic generator in place of the proxy.

pub mod hollow_node;
pub mod hollow_proxy;
pub mod revision_arrivals;
pub mod traffic;

pub use hollow_node::SimulatedNode;
pub use revision_arrivals::RevisionArrivals;
pub use traffic::{TrafficCounts, TrafficShape};
