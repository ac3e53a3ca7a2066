//! The `millford-lab` program.

use std::process::ExitCode;

use millford_lab::arguments::ArgumentError;
use millford_lab::commands;
use millford_lab::commands::days::DaysOptions;
use millford_lab::fleet::FleetError;

const USAGE: &str = "Usage: millford-lab COMMAND [options]

  backend      one emulated backend
  registry     the service registry stand-in
  demo         a complete fleet on loopback, with faults while streams run
  chaos        a complete site under every fault, with the guarantees checked
  bench        measurements: bench overhead
  scenarios    a complete fleet under simulated time, over many seeds
  experiment   routing and placement compared with what they replace
  days         value and maximum value of the days in journal entries of bench runs
  explain      value lost, by cause, from the decision records in logs
  scale        cost of a fleet of a given size, measured with hollow nodes

Each command has --help.";
/// Exit status of an invalid command line.
const USAGE_STATUS: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((command, rest)) = arguments.split_first() else {
        eprintln!("{USAGE}");
        return ExitCode::from(USAGE_STATUS);
    };
    if matches!(command.as_str(), "-h" | "--help") {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if let Some(status) = run_without_runtime(command, rest) {
        return status;
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("millford-lab: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(dispatch(command, rest)) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}

/// Runs a command that needs no Tokio runtime or creates its own; `None` for the other commands.
fn run_without_runtime(command: &str, rest: &[String]) -> Option<ExitCode> {
    match command {
        "scenarios" => Some(millford_simulation::run(rest)),
        "experiment" => Some(millford_experiments::run(rest)),
        "days" => Some(days(rest)),
        "explain" => Some(explain(rest)),
        // The scale command creates its own runtimes and accounts for their threads separately.
        "scale" => Some(millford_scale::run(rest)),
        _ => None,
    }
}

fn days(rest: &[String]) -> ExitCode {
    let run = |options: &DaysOptions| commands::days::run(options).map(|table| print!("{table}"));
    run_synchronously("days", commands::days::parse(rest), run)
}

fn explain(rest: &[String]) -> ExitCode {
    let options = commands::explain::parse(rest);
    run_synchronously("explain", options, commands::explain::run)
}

/// Runs a command with its parsed options, prints its error if it fails, and returns the exit status.
fn run_synchronously<O, E: std::fmt::Display>(
    command: &str,
    options: Result<Option<O>, ArgumentError>,
    run: impl Fn(&O) -> Result<(), E>,
) -> ExitCode {
    let options = match options {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("millford-lab {command}: {error}");
            return ExitCode::from(USAGE_STATUS);
        }
    };
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("millford-lab {command}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn dispatch(command: &str, rest: &[String]) -> Result<ExitCode, FleetError> {
    match command {
        "backend" => commands::backend::run(rest)
            .await
            .map(|()| ExitCode::SUCCESS),
        "registry" => commands::registry::run(rest)
            .await
            .map(|()| ExitCode::SUCCESS),
        "bench" => millford_lab::bench::run(rest).await,
        "chaos" => millford_lab::chaos::run(rest).await,
        "demo" => millford_lab::demo::run(rest).await,
        _ => {
            eprintln!("millford-lab: unknown command \"{command}\"\n{USAGE}");
            Ok(ExitCode::from(USAGE_STATUS))
        }
    }
}
