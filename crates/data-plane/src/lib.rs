//! What both data planes share: the state of a proxy, its metrics, and the link to the agent that
//! keeps that state up to date.

pub mod agent_link;
pub mod agent_message;
pub mod control_thread;
pub mod control_view;
pub mod frame_handler;
pub mod limits;
pub mod load_reporter;
pub mod proxy_metrics;
pub mod proxy_state;
