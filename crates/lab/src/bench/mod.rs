//! `millford-lab bench`: benchmarks of real processes.

pub mod concurrent_streams;
pub mod latency;
pub mod overhead;
pub mod process_usage;
pub mod throughput;

use std::process::ExitCode;

use crate::arguments::ArgumentError;
use crate::fleet::FleetError;

/// Runs the measurement named by the first argument.
///
/// # Errors
/// The command line is invalid, or the measurement fails.
pub async fn run(arguments: &[String]) -> Result<ExitCode, FleetError> {
    match arguments.split_first() {
        Some((name, rest)) if name == "overhead" => overhead::run(rest).await,
        Some((name, _)) => Err(ArgumentError::UnknownMeasurement(name.clone()).into()),
        None => Err(ArgumentError::NoMeasurement.into()),
    }
}
