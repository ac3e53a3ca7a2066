//! The command line of `millford-lab experiment`.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;

use crate::report::Report;
use crate::suite::{affinity, balance, bandwidth, load_age, quota_age, retry_storm, transition};

/// Seeds when the command names none.
const DEFAULT_SEEDS: u64 = 3;

/// An experiment by name.
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

/// Runs `NAME --seeds N [--out DIR]`; prints the report and writes its files.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    match try_run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            eprintln!("{}", usage());
            ExitCode::FAILURE
        }
    }
}

fn try_run(arguments: &[String]) -> Result<(), String> {
    let matches = options()
        .parse(arguments)
        .map_err(|fault| fault.to_string())?;
    if matches.opt_present("help") {
        println!("{}", usage());
        return Ok(());
    }
    let [name] = matches.free.as_slice() else {
        return Err("Name one experiment.".to_owned());
    };
    let seeds = matches
        .opt_get_default("seeds", DEFAULT_SEEDS)
        .map_err(|fault| format!("--seeds: {fault}"))?;
    if seeds == 0 {
        return Err("--seeds must be at least 1.".to_owned());
    }
    let experiment = EXPERIMENTS
        .iter()
        .find(|experiment| experiment.name == name)
        .ok_or_else(|| format!("There is no experiment {name}."))?;
    let report = (experiment.run)(seeds);
    print!("{}", report.to_text());
    match matches.opt_str("out") {
        Some(folder) => report.write(&PathBuf::from(folder)),
        None => Ok(()),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seeds", "number of seeds, from 1 on", "N");
    options.optopt("", "out", "folder for text, JSON and plots", "DIR");
    options.optflag("h", "help", "show this");
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
