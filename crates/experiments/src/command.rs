//! The command line of `millford-lab experiment`.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;

use crate::error::ExperimentError;
use crate::report::Report;
use crate::suite::{affinity, balance, bandwidth, load_age, quota_age, retry_storm, transition};

/// Number of seeds without `--seeds`.
const DEFAULT_SEEDS: u64 = 3;

/// An experiment and its name on the command line.
struct Experiment {
    name: &'static str,
    run: fn(u64) -> Report,
}

const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "balance",
        run: balance::run,
    },
    Experiment {
        name: "bandwidth",
        run: bandwidth::run,
    },
    Experiment {
        name: "transition",
        run: transition::run,
    },
    Experiment {
        name: "affinity",
        run: affinity::run,
    },
    Experiment {
        name: "load-age",
        run: load_age::run,
    },
    Experiment {
        name: "quota-age",
        run: quota_age::run,
    },
    Experiment {
        name: "retry-storm",
        run: retry_storm::run,
    },
];

/// Runs the experiment given by `NAME [--seeds N] [--out DIR]`, prints the report and writes its files if a
/// folder is given.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    match try_run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            eprintln!("{}", usage());
            ExitCode::FAILURE
        }
    }
}

fn try_run(arguments: &[String]) -> Result<(), ExperimentError> {
    let matches = options().parse(arguments)?;
    if matches.opt_present("help") {
        println!("{}", usage());
        return Ok(());
    }
    let [name] = matches.free.as_slice() else {
        return Err(ExperimentError::NotOneName);
    };
    let seeds = matches
        .opt_get_default("seeds", DEFAULT_SEEDS)
        .map_err(|source| ExperimentError::SeedsNotANumber { source })?;
    if seeds == 0 {
        return Err(ExperimentError::NoSeeds);
    }
    let experiment = EXPERIMENTS
        .iter()
        .find(|experiment| experiment.name == name)
        .ok_or_else(|| ExperimentError::UnknownExperiment { name: name.clone() })?;
    let report = (experiment.run)(seeds);
    print!("{}", report.to_text());
    match matches.opt_str("out") {
        Some(folder) => report.write(&PathBuf::from(folder)),
        None => Ok(()),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seeds", "number of seeds, counted from 1 (3)", "N");
    options.optopt(
        "",
        "out",
        "folder for the report as text, JSON and plots",
        "DIR",
    );
    options.optflag("h", "help", "print this help");
    options
}

fn usage() -> String {
    let names: Vec<&str> = EXPERIMENTS
        .iter()
        .map(|experiment| experiment.name)
        .collect();
    let brief = format!(
        "Usage: millford-lab experiment {} [options]",
        names.join("|")
    );
    options().usage(&brief)
}
