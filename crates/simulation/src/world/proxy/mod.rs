//! A proxy whose request path is the daemon's own, run by an executor of the simulator.

pub mod action;
pub mod agent_desk;
pub mod answer;
pub mod asks;
pub mod environment;
pub mod executor;
pub mod port;
pub mod proxy_process;
pub mod sink;

pub use action::ProxyAction;
pub use answer::SimulatedAnswer;
pub use environment::SimulatedEnvironment;
pub use executor::Executor;
pub use port::{ProxyPort, SharedPort, lock};
pub use proxy_process::{BackendLink, ProxyCore, ProxyProcess};
pub use sink::CallerPipe;
