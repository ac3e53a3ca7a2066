//! Command line of the scenario runner.

use std::path::PathBuf;

/// Folder of the scenario files when none is named.
const DEFAULT_FOLDER: &str = "scenarios";

/// Options of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// A scenario file, or a folder of them.
    pub path: PathBuf,
    /// Seeds per scenario; the file's own number if absent.
    pub seeds: Option<u64>,
    /// First seed.
    pub from: u64,
    /// Threads.
    pub jobs: usize,
    /// Whether histories are printed.
    pub verbose: bool,
}

/// Help text.
pub const USAGE: &str = "\
usage: millford-lab scenarios [--file FILE|FOLDER] [--seeds N] [--from SEED] [--jobs N] [--verbose]

Runs the scenario files of the folder `scenarios`, or the one named, and prints a line for each:
seeds, failed runs, simulated time and the worst measured figures. A failed run prints the command
that replays it. --verbose prints the history of every run.";

impl Arguments {
    /// Parses the arguments after `scenarios`.
    pub fn parse(tokens: &[String]) -> Result<Self, String> {
        let mut arguments = Self {
            path: PathBuf::from(DEFAULT_FOLDER),
            seeds: None,
            from: 0,
            jobs: default_jobs(),
            verbose: false,
        };
        let mut tokens = tokens.iter();
        while let Some(token) = tokens.next() {
            match token.as_str() {
                "--verbose" => arguments.verbose = true,
                "--file" => arguments.path = PathBuf::from(value(token, tokens.next())?),
                "--seeds" => arguments.seeds = Some(number(token, tokens.next())?),
                "--from" => arguments.from = number(token, tokens.next())?,
                "--jobs" => arguments.jobs = number(token, tokens.next())?,
                other => return Err(format!("unknown argument {other:?}")),
            }
        }
        Ok(arguments)
    }
}

fn default_jobs() -> usize {
    std::thread::available_parallelism().map_or(1, std::num::NonZeroUsize::get)
}

fn value<'word>(name: &str, token: Option<&'word String>) -> Result<&'word str, String> {
    token
        .map(String::as_str)
        .ok_or_else(|| format!("{name} needs a value"))
}

fn number<N: std::str::FromStr>(name: &str, token: Option<&String>) -> Result<N, String> {
    let text = value(name, token)?;
    text.parse()
        .map_err(|_| format!("{name}: {text:?} is not a number"))
}
