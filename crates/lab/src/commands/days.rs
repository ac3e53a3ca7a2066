//! `millford-lab days`: prints value and maximum value of the days in journal entries of bench runs.

use std::fmt::Write;
use std::path::PathBuf;

use getopts::Options;

use crate::arguments::{ArgumentError, files, parse_files, required_form};
use crate::days::{DayRow, DaysError, JournalEntry, day_row};

const USAGE: &str = "Usage: millford-lab days [options] ENTRY...

Prints a table of the days in journal entries of bench runs: score, value, maximum value (1 less the price of
the machines), the worst windows and kind of request, the largest other prices and the broken rules.";

/// Options of the command.
#[derive(Clone, Debug, PartialEq)]
pub struct DaysOptions {
    /// Files of the journal entries.
    pub files: Vec<PathBuf>,
    /// Smallest difference between the maximum value and the value of a listed day; days with a broken rule are
    /// listed in any case.
    pub below: f64,
}

/// Parses the command line. Returns `None` after printing the help.
///
/// # Errors
/// [`ArgumentError`] with the option or operand that is wrong.
pub fn parse(arguments: &[String]) -> Result<Option<DaysOptions>, ArgumentError> {
    let mut options = Options::new();
    options.optopt(
        "",
        "below",
        "only days this far below their maximum value, or with a broken rule (0)",
        "WORTH",
    );
    let matches = parse_files(options, USAGE, "entry", arguments)?;
    let Some(matches) = matches else {
        return Ok(None);
    };
    Ok(Some(DaysOptions {
        files: files(&matches),
        below: required_form(&matches, "below", 0.0, "must be a number")?,
    }))
}

/// Reads the entries and formats the table. A run that did not finish has a row with its error.
///
/// # Errors
/// A file cannot be read or is not a journal entry.
pub fn run(options: &DaysOptions) -> Result<String, DaysError> {
    let mut text = format!("{}\n", day_row::HEAD);
    for file in &options.files {
        let entry = JournalEntry::read(file)?;
        if let Some(error) = &entry.error {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "| {} | {}: {error} | | | | | | | |",
                entry.id, entry.cmd
            );
        }
        for row in DayRow::all_of(&entry) {
            if row.is_selected(options.below) {
                let _ = writeln!(text, "{row}");
            }
        }
    }
    Ok(text)
}
