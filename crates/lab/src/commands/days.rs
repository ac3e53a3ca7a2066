//! `millford-lab days`: worth and ceiling of days that were played at the bench.

use std::path::PathBuf;

use getopts::Options;

use super::file_arguments;
use crate::days::{DayRow, DaysError, JournalEntry, day_row};

const USAGE: &str = "Usage: millford-lab days [options] ENTRY...

Prints a table of the days in the entries that bench runs wrote: score, worth, ceiling (1 less the price of the
machines), the worst windows and kind of request, the largest other prices and broken rules.";

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct DaysOptions {
    /// Entries.
    pub files: Vec<PathBuf>,
    /// Only days that are further than this below their ceiling, or broke a rule.
    pub below: f64,
}

/// Reads the command line. `None`: help was asked for and printed.
///
/// # Errors
/// What is wrong with the command line.
pub fn parse(arguments: &[String]) -> Result<Option<DaysOptions>, String> {
    let mut options = Options::new();
    options.optopt(
        "",
        "below",
        "only days this far below their ceiling, or with a broken rule (0)",
        "WORTH",
    );
    let matches = file_arguments::parse(options, USAGE, "entry", arguments)?;
    let Some(matches) = matches else {
        return Ok(None);
    };
    let below = matches.opt_get_default("below", 0.0);
    Ok(Some(DaysOptions {
        files: matches.free.iter().map(PathBuf::from).collect(),
        below: below.map_err(|_| "--below is no number".to_owned())?,
    }))
}

/// Reads the entries and makes the table. Entries of runs that did not end have a line that says so.
///
/// # Errors
/// An entry cannot be read.
pub fn run(options: &DaysOptions) -> Result<String, DaysError> {
    let mut text = format!("{}\n", day_row::HEAD);
    for file in &options.files {
        let entry = JournalEntry::read(file)?;
        if let Some(error) = &entry.error {
            text += &format!("| {} | {}: {error} | | | | | | | |\n", entry.id, entry.cmd);
        }
        for row in DayRow::all_of(&entry) {
            if row.is_shown(options.below) {
                text += &format!("{row}\n");
            }
        }
    }
    Ok(text)
}
