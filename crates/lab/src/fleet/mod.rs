//! A whole fleet of real processes on loopback.

pub mod backend_machine;
pub mod binaries;
pub mod control_machine;
pub mod error;
pub mod fleet_process;
pub mod front_machine;
pub mod operator;
pub mod places;
pub mod ports;
pub mod ready_line;
pub mod settings_file;
pub mod site;
pub mod stand;
pub mod waiting;

pub use error::FleetError;
pub use site::{Site, SitePlan};
pub use stand::Fleet;
