//! The simulated site: machines, processes, simulated parts, faults and the loop over events.

pub mod active_faults;
pub mod agent_driver;
pub mod agent_link_driver;
pub mod agent_process;
pub mod answer_driver;
pub mod backend;
pub mod backend_driver;
pub mod caller_driver;
pub mod callers;
pub mod control_driver;
pub mod control_process;
pub mod defect;
pub mod draws;
pub mod event;
pub mod exchange_driver;
pub mod fault_driver;
pub mod link_driver;
pub mod operator_driver;
pub mod operators;
pub mod probe_driver;
pub mod process;
pub mod process_input;
pub mod proxy;
pub mod proxy_driver;
pub mod recorder;
pub mod registry;
pub mod roll_driver;
pub mod run_options;
pub mod site;
pub mod targets;

pub use defect::Defect;
pub use run_options::RunOptions;
pub use site::Site;
