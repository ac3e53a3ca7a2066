//! Code shared by both data planes, the chat proxy and the forwarding proxy: the state of a proxy, its
//! metrics, and the connection to the local agent that keeps the state up to date.

pub mod agent_link;
pub mod agent_message;
pub mod control_thread;
pub mod control_view;
pub mod frame_handler;
pub mod limits;
pub mod load_reporter;
pub mod proxy_metrics;
pub mod proxy_state;
