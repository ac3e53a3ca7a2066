//! Runs scenario files over many seeds and summarizes the results.

pub mod arguments;
pub mod run_report;
pub mod scenario_files;
pub mod summary;
pub mod sweep;

pub use arguments::{ArgumentError, Arguments};
pub use run_report::{RunReport, run_scenario};
pub use scenario_files::{ScenarioFile, ScenarioFileError, load_scenarios};
pub use summary::Summary;
pub use sweep::sweep;
