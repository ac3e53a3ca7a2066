//! The agent process: drives the agent's core with sockets, timers and signals.

pub mod agent_settings;
pub mod control_connection;
pub mod driver;
pub mod event_queues;
pub mod http_server;
pub mod local_listener;
pub mod metrics;
pub mod proxy_sender;
pub mod report;
pub mod run;
pub mod saved_members;
pub mod traffic_meter;

pub use agent_settings::AgentSettings;
pub use driver::{Driver, DriverComponents};
pub use event_queues::EventQueues;
pub use proxy_sender::ProxySender;
pub use report::AgentReport;
pub use run::{AgentAdapters, run, run_with};
pub use traffic_meter::TrafficMeter;
