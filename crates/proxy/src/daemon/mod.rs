//! The `millford-proxy` process: sockets, runtimes and signals around the request path.

pub mod agent_link;
pub mod agent_link_task;
pub mod backend_client;
pub mod body_reader;
pub mod caller_channel;
pub mod caller_headers;
pub mod connections;
pub mod control_thread;
pub mod environment;
pub mod held_streams;
pub mod models;
pub mod outstanding;
pub mod prober;
pub mod reporter;
pub mod responses;
pub mod run;
pub mod server;
pub mod settings;
