//! The `millford-lab` program.

use std::process::ExitCode;

use millford_lab::commands;
use millford_lab::fleet::FleetError;

const USAGE: &str = "Usage: millford-lab COMMAND [options]

  backend      one emulated backend
  registry     the service registry stand-in
  demo         the whole fleet on loopback, with faults while streams run
  chaos        a whole site under every fault, the promises checked
  bench        measurements: bench overhead
  scale        what a fleet of a given size costs, by hollow nodes

Each command has --help.";
/// Exit status of a wrong command line.
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
    // The scale rig brings runtimes of its own, whose threads it tells apart.
    if command == "scale" {
        return millford_scale::run(rest);
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
