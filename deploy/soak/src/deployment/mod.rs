//! The machines of the deployment and their processes.

pub mod control_machines;
pub mod deploy_file;
pub mod front_machine;
pub mod network;
pub mod process;
pub mod process_group;
pub mod seed_list;
pub mod settings_file;

pub use control_machines::ControlMachines;
pub use deploy_file::DeployFile;
pub use front_machine::FrontMachine;
pub use network::Network;
pub use process::{MachineProcess, ProcessError};
pub use process_group::ProcessGroup;
pub use seed_list::SeedList;
