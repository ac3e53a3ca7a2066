//! Entry point of the `millford-agent` program.

use std::process::ExitCode;

use millford_agent::daemon::{AgentSettings, run};

/// Exit status of a process that could not start.
const START_FAILED_STATUS: u8 = 3;

fn main() -> ExitCode {
    let settings: AgentSettings = run::COMMAND.parse_or_exit();
    match run::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(START_FAILED_STATUS)
        }
    }
}
