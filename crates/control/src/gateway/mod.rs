//! The node-level half of a control node: links, handshakes, formation, forwarding and operators.
//!
//! It holds no replicated state of its own. It exchanges only messages with the shards' cores, so
//! that each core can run on a thread of its own.
//!
//! [`Gateway`] (in `core`) routes inputs to the parts that own the state:
//!
//! | part | owns |
//! |---|---|
//! | `node_store` | the node's file on its disk, identities |
//! | `replica_table` | status of each replica held here, detection of stalled cores |
//! | `member_list` | this node's copy of the list of control nodes, the cached configuration |
//! | `links`, `dialer` | open links, connections to control nodes |
//! | `pending_requests`, `quota_relay` | requests in flight to the leaders of shards |
//! | `agents`, `early_heartbeats`, `own_session` | sessions whose heartbeats arrive here, and this node's own |
//! | `pending_operator_requests` | operators' requests that wait for replies of shards |
//! | `leadership_balancer`, `decommission` | transfers of leaderships, removal of this node's identity |
//! | `outbox` | the outputs, in order |

mod agents;
pub mod core;
mod decommission;
mod dialer;
mod early_heartbeats;
pub mod input;
mod leadership_balancer;
mod links;
mod member_list;
pub mod node_file;
mod node_store;
mod operator_answers;
mod outbox;
mod own_session;
mod pending_operator_requests;
pub mod pending_requests;
mod quota_relay;
mod replica_table;
pub mod stall_detector;

pub use core::Gateway;
pub use input::{GatewayInput, GatewayOutput, ShardStart};
