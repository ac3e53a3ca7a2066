//! The command `millford-lab scenarios`.

use std::process::ExitCode;

use thiserror::Error;

use crate::runner::arguments::USAGE;
use crate::runner::{
    ArgumentError, Arguments, RunReport, ScenarioFile, ScenarioFileError, load_scenarios,
    run_scenario, sweep,
};
use crate::world::RunOptions;

/// Exit status for an invalid command line or scenario file.
const USAGE_EXIT: u8 = 2;
/// Largest number of violations printed per failed run.
const MAX_PRINTED_VIOLATIONS: usize = 3;
/// Largest number of failed runs printed per scenario.
const MAX_PRINTED_FAILURES: usize = 20;

/// Error that keeps the command from starting.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Arguments(#[from] ArgumentError),
    #[error(transparent)]
    Scenarios(#[from] ScenarioFileError),
}

/// Runs the scenario files that the arguments name. The exit status is 0 if no run violated a guarantee,
/// 1 if one did, and 2 for an invalid command line or scenario file.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    let wants_help = arguments.iter().any(|argument| argument == "--help");
    if wants_help {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let (arguments, files) = match load(arguments) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("{error}\n\n{USAGE}");
            return ExitCode::from(USAGE_EXIT);
        }
    };
    let failed: u64 = files
        .iter()
        .map(|file| {
            if arguments.verbose {
                print_histories(&arguments, file)
            } else {
                run_file(&arguments, file)
            }
        })
        .sum();
    println!("{} scenarios, {failed} failed runs", files.len());
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn load(arguments: &[String]) -> Result<(Arguments, Vec<ScenarioFile>), CommandError> {
    let arguments = Arguments::parse(arguments)?;
    let files = load_scenarios(&arguments.path)?;
    Ok((arguments, files))
}

/// Runs all seeds of a file in parallel and prints a summary. Returns the number of failed runs.
fn run_file(arguments: &Arguments, file: &ScenarioFile) -> u64 {
    let seeds = arguments.seeds.unwrap_or(file.scenario.seeds);
    let summary = sweep(&file.scenario, arguments.from, seeds, arguments.jobs);
    println!("{summary}");
    for failure in summary.failures.iter().take(MAX_PRINTED_FAILURES) {
        print_failure(file, failure);
    }
    summary.failed
}

/// Runs the seeds of a file in sequence and prints their histories. Returns the number of failed runs.
fn print_histories(arguments: &Arguments, file: &ScenarioFile) -> u64 {
    let seeds = arguments.seeds.unwrap_or(1);
    let mut failed = 0;
    for seed in arguments.from..arguments.from + seeds {
        let options = RunOptions {
            seed,
            verbose: true,
            ..RunOptions::default()
        };
        let report = run_scenario(&file.scenario, options);
        println!("trace hash {:016x}", report.trace_hash);
        if !report.is_clean() {
            failed += 1;
            print_failure(file, &report);
        }
    }
    failed
}

fn print_failure(file: &ScenarioFile, report: &RunReport) {
    println!(
        "  seed {} failed: millford-lab scenarios --file {} --from {} --seeds 1 --verbose",
        report.seed,
        file.path.display(),
        report.seed
    );
    let violations = &report.results.violations;
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!(
            "    at {} ms, {:?}: {}",
            violation.at.as_millis(),
            violation.guarantee,
            violation.text
        );
    }
    if violations.len() > MAX_PRINTED_VIOLATIONS {
        println!("    and {} more", violations.len() - MAX_PRINTED_VIOLATIONS);
    }
}
