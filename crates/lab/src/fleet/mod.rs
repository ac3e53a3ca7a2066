//! Runs a complete fleet of real processes on loopback.

pub mod backend_process;
pub mod binaries;
pub mod control_node;
pub mod error;
pub mod fleet_process;
pub mod local_fleet;
pub mod node_specs;
pub mod operator;
pub mod ports;
pub mod proxy_node;
pub mod ready_line;
pub mod settings_file;
pub mod site;
pub mod waiting;

pub use error::FleetError;
pub use local_fleet::Fleet;
pub use site::{Site, SitePlan};
