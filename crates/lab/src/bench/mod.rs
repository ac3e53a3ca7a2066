//! `millford-lab bench`: measurements on real processes.

pub mod held_streams;
pub mod latency;
pub mod overhead;
pub mod process_usage;
pub mod throughput;

use std::process::ExitCode;

use crate::arguments::argument;
use crate::fleet::FleetError;

/// Runs the named measurement.
pub async fn run(arguments: &[String]) -> Result<ExitCode, FleetError> {
    match arguments.split_first() {
        Some((name, rest)) if name == "overhead" => overhead::run(rest).await,
        Some((name, _)) => Err(argument(&format!("unknown measurement \"{name}\""))),
        None => Err(argument("usage: millford-lab bench overhead [options]")),
    }
}
