//! Scale tests: simulated nodes connect to real control processes, and a least-squares fit estimates what
//! each node, tenant and backend adds to the measured cost.

pub mod error;
pub mod exchange;
pub mod fit;
pub mod hollow;
pub mod measure;
pub mod options;
pub mod report;
pub mod rig;
pub mod run_size;
pub mod size;
pub mod size_result;
pub mod sweep;
mod totals;

pub use error::{OrderError, ScaleError};
pub use options::ScaleOptions;
pub use size::FleetSize;
pub use size_result::SizeResult;

use std::process::ExitCode;

/// Runs `millford-lab scale` with the arguments after `scale`. The exit code is 2 for invalid arguments.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    let options = match ScaleOptions::parse(arguments) {
        Ok(options::Parsed::Run(options)) => options,
        Ok(options::Parsed::Help(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("millford-lab scale: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = if options.exchange {
        exchange::run::run(
            options.requests_per_node,
            std::time::Duration::from_secs(options.steady_seconds),
            &options.output,
        )
    } else {
        sweep::run(&options)
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("millford-lab scale: {error}");
            ExitCode::FAILURE
        }
    }
}
