//! Node agent that runs on the same host as each proxy and holds the node's session and state feed
//! with the control plane.
//!
//! [`AgentCore`] implements all logic as a state machine without I/O: it takes input events and
//! returns output actions. [`daemon`] drives it with sockets and timers; the simulator drives the
//! same core, and the scale rig the same driver.

pub mod agent_core;
pub mod claims;
pub mod counters;
pub mod daemon;
pub mod feeds;
pub mod heartbeat;
pub mod input;
pub mod link;
pub mod options;
pub mod output;
pub mod proxy_link;
pub mod quota;
pub mod registry;
pub mod session;
pub mod shard_command;
pub mod shutdown;
pub mod timing;

pub use agent_core::AgentCore;
pub use counters::AgentCounters;
pub use input::{AgentInput, ControlLinkId};
pub use options::AgentOptions;
pub use output::AgentOutput;
pub use registry::{RegistryEntry, RegistryView};
