//! Agent beside each proxy: one session and one feed with the control plane.
//!
//! [`AgentCore`] takes inputs and returns outputs; it holds every decision. [`daemon`] drives it
//! with sockets; the scale rig and the simulator drive the same core.

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
pub mod timing;

pub use agent_core::AgentCore;
pub use counters::AgentCounters;
pub use input::{AgentInput, ControlLinkId};
pub use options::AgentOptions;
pub use output::AgentOutput;
pub use registry::{RegistryEntry, RegistryView};
