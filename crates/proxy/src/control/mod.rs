//! What the agent tells the proxy: feed, link state, load of the other nodes.

pub mod control_view;
pub mod frame_handler;
pub mod send_times;
