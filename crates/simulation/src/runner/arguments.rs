//! Command line of the scenario runner.

use std::path::PathBuf;

/// Folder of the scenario files when none is named.
const DEFAULT_FOLDER: &str = "scenarios";

/// What the command line asks for.
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
    /// Reads the words after `scenarios`.
    pub fn parse(words: &[String]) -> Result<Self, String> {
        let mut arguments = Self {
            path: PathBuf::from(DEFAULT_FOLDER),
            seeds: None,
            from: 0,
            jobs: default_jobs(),
            verbose: false,
        };
        let mut words = words.iter();
        while let Some(word) = words.next() {
            match word.as_str() {
                "--verbose" => arguments.verbose = true,
                "--file" => arguments.path = PathBuf::from(value(word, words.next())?),
                "--seeds" => arguments.seeds = Some(number(word, words.next())?),
                "--from" => arguments.from = number(word, words.next())?,
                "--jobs" => arguments.jobs = number(word, words.next())?,
                other => return Err(format!("unknown argument {other:?}")),
            }
        }
        Ok(arguments)
    }
}

fn default_jobs() -> usize {
    std::thread::available_parallelism().map_or(1, std::num::NonZeroUsize::get)
}

fn value<'word>(name: &str, word: Option<&'word String>) -> Result<&'word str, String> {
    word.map(String::as_str)
        .ok_or_else(|| format!("{name} needs a value"))
}

fn number<N: std::str::FromStr>(name: &str, word: Option<&String>) -> Result<N, String> {
    let text = value(name, word)?;
    text.parse()
        .map_err(|_| format!("{name}: {text:?} is not a number"))
}
