//! Control node: replicated shards, sessions, feeds and the operator interface.
//!
//! [`ControlNode`] is the node's logic as a synchronous state machine without I/O. The [`daemon`]
//! runs the same parts on threads: one for the gateway, one for each shard.

pub mod commands;
pub mod daemon;
pub mod folders;
pub mod gateway;
pub mod link;
pub mod node;
pub mod node_event;
pub mod node_input;
pub mod node_output;
pub mod operator;
pub mod options;
pub mod shard;
pub mod storage_code;
pub mod timing;

pub use gateway::{Gateway, GatewayInput, GatewayOutput};
pub use link::{LinkId, PeerKind};
pub use millford_registry::{RegistryEntry, RegistryView};
pub use node::ControlNode;
pub use node_event::NodeEvent;
pub use node_input::NodeInput;
pub use node_output::NodeOutput;
pub use operator::{OperatorReply, OperatorRequest};
pub use options::ControlOptions;
