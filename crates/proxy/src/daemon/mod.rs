//! The `millford-proxy` process: sockets, runtimes and signals for the request path.

pub mod backend_client;
pub mod body_reader;
pub mod caller_channel;
pub mod caller_headers;
pub mod connections;
pub mod environment;
pub mod models;
pub mod prober;
pub mod responses;
pub mod run;
pub mod server;
pub mod settings;
