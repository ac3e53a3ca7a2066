//! Soak test of the programs that the deploy file names.
//!
//! It starts them as processes on loopback addresses, beside stand-ins for what surrounds them on the users'
//! platform: backends, the backend list, operators and clients. Seeded plans signal, restart and replace machines
//! and change the configuration, each on its own timeline, so that disruptions overlap. What the stand-ins saw is
//! then checked against the users' rules.

pub mod bounds;
pub mod checks;
pub mod configuration;
pub mod deployment;
pub mod drivers;
pub mod history;
pub mod options;
pub mod peer_fault_run;
pub mod plan;
pub mod report;
pub mod run;
pub mod stand_ins;

pub use options::SoakOptions;
pub use report::SoakReport;
pub use run::{SoakError, run};
