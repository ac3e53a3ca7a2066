//! The simulated site: machines, processes, callers, operators, faults and the loop over events.
//!
//! Each part has a type of its own that owns its state, such as [`callers::Callers`] or
//! [`active_faults::ActiveFaults`]. [`Site`] owns the parts, the event queue and all randomness. The
//! `*_driver` modules extend it: each takes the events of one part, lets the part decide and
//! schedules what follows.

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
pub mod defect;
mod draws;
pub mod event;
mod exchange_driver;
mod fault_driver;
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
pub mod site;
mod targets;

pub use defect::Defect;
pub use run_options::RunOptions;
pub use site::Site;
