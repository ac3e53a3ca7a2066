//! Command line of the scenario runner.

use std::num::{NonZeroUsize, ParseIntError};
use std::path::PathBuf;
use std::str::FromStr;

use thiserror::Error;

/// Folder of the scenario files if the command line names none.
const DEFAULT_FOLDER: &str = "scenarios";

/// Options of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// A scenario file, or a folder of them.
    pub path: PathBuf,
    /// Number of seeds per scenario; if absent, that of the file, or 1 for a verbose run.
    pub seeds: Option<u64>,
    /// First seed; 0 by default.
    pub from: u64,
    /// Number of threads; by default that of the machine's cores.
    pub jobs: usize,
    /// Whether the histories are printed.
    pub verbose: bool,
}

/// Error in the command line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ArgumentError {
    /// An argument is not a known option.
    #[error("unknown argument {argument:?}")]
    Unknown {
        /// Argument as given on the command line.
        argument: String,
    },
    /// The last option has no value.
    #[error("option {option} requires a value")]
    MissingValue {
        /// Name of the option, with its dashes.
        option: String,
    },
    /// The value of an option is not an integer, or is out of range.
    #[error("option {option}: {value:?} is not an integer in the allowed range")]
    InvalidNumber {
        /// Name of the option, with its dashes.
        option: String,
        /// Value on the command line.
        value: String,
        /// Error of the integer parser.
        source: ParseIntError,
    },
}

/// Help text of the command.
pub const USAGE: &str = "\
usage: millford-lab scenarios [--file FILE|FOLDER] [--seeds N] [--from SEED] [--jobs N] [--verbose]

Runs the scenario files of the folder `scenarios`, or the one named, and prints a line for each:
seeds, failed runs, simulated time and the worst measured figures. A failed run prints the command
that replays it. --verbose prints the history of every run.";

impl Arguments {
    /// Parses the arguments after `scenarios`.
    ///
    /// # Errors
    /// [`ArgumentError`] for the first argument that is unknown, has no value or has an invalid one.
    pub fn parse(arguments: &[String]) -> Result<Self, ArgumentError> {
        let mut parsed = Self {
            path: PathBuf::from(DEFAULT_FOLDER),
            seeds: None,
            from: 0,
            jobs: default_jobs(),
            verbose: false,
        };
        let mut arguments = arguments.iter();
        while let Some(option) = arguments.next() {
            match option.as_str() {
                "--verbose" => parsed.verbose = true,
                "--file" => parsed.path = PathBuf::from(value(option, arguments.next())?),
                "--seeds" => parsed.seeds = Some(number(option, arguments.next())?),
                "--from" => parsed.from = number(option, arguments.next())?,
                "--jobs" => parsed.jobs = number(option, arguments.next())?,
                other => {
                    return Err(ArgumentError::Unknown {
                        argument: other.to_owned(),
                    });
                }
            }
        }
        Ok(parsed)
    }
}

fn default_jobs() -> usize {
    std::thread::available_parallelism().map_or(1, NonZeroUsize::get)
}

fn value<'argument>(
    option: &str,
    value: Option<&'argument String>,
) -> Result<&'argument str, ArgumentError> {
    value
        .map(String::as_str)
        .ok_or_else(|| ArgumentError::MissingValue {
            option: option.to_owned(),
        })
}

fn number<N>(option: &str, text: Option<&String>) -> Result<N, ArgumentError>
where
    N: FromStr<Err = ParseIntError>,
{
    let text = value(option, text)?;
    text.parse().map_err(|source| ArgumentError::InvalidNumber {
        option: option.to_owned(),
        value: text.to_owned(),
        source,
    })
}
