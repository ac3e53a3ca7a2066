//! Simulated proxy: the daemon's request path on a deterministic executor.

pub mod action;
pub mod agent_client;
pub mod answer;
pub mod backend_links;
pub mod environment;
pub mod executor;
pub mod in_flight_requests;
pub mod port;
pub mod proxy_process;
pub mod sink;

pub use action::ProxyAction;
pub use answer::SimulatedAnswer;
pub use backend_links::{BackendLink, BackendLinks};
pub use environment::SimulatedEnvironment;
pub use executor::Executor;
pub use port::{ProxyPort, SharedPort, lock};
pub use proxy_process::{AgentLink, MAX_ANSWER_BYTES, ProxyProcess, RunningProxy};
pub use sink::CallerPipe;
