//! The simulated system: machines, processes, callers, operators, faults and the event loop.
//!
//! The state of each part is in a type of its own, such as [`callers::Callers`] or
//! [`active_faults::ActiveFaults`]. [`Simulation`] owns the parts, the event queue and the random number
//! generator. The `*_driver` modules extend it: each handles the events of one part, by calling the
//! part and scheduling the events that follow.

pub mod active_faults;
mod addresses;
mod agent_driver;
mod agent_link_driver;
pub mod agent_process;
mod answer_driver;
pub mod backend;
mod backend_driver;
mod caller_driver;
pub mod callers;
pub mod client_request;
mod control_driver;
pub mod control_process;
mod draws;
pub mod event;
mod exchange_driver;
mod fault_driver;
pub mod injected_defect;
mod link_driver;
pub mod link_names;
mod machine_fault_driver;
pub mod operator_document;
mod operator_driver;
pub mod operators;
mod probe_driver;
pub mod process;
mod process_fault_driver;
pub mod process_input;
pub mod proxy;
mod proxy_driver;
pub mod received_answer;
pub mod recorder;
mod registry_driver;
mod roll_driver;
pub mod run_options;
pub mod service_registry;
pub mod simulation;
mod targets;

pub use injected_defect::InjectedDefect;
pub use run_options::RunOptions;
pub use simulation::Simulation;
