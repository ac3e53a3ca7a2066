//! Experiments in simulated time on routing, placement, version transitions, retries and quotas, with reports
//! and plots.

mod command;
pub mod error;
pub mod fleet;
pub mod load_age;
pub mod quota_age;
pub mod report;
pub mod suite;

pub use command::run;
pub use error::ExperimentError;
