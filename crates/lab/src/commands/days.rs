//! `millford-lab days`: worth and maximum worth of days that were played at the bench.

use std::fmt::Write;
use std::path::PathBuf;

use getopts::Options;

use crate::arguments::{ArgumentError, files, parse_files, required_form};
use crate::days::{DayRow, DaysError, JournalEntry, day_row};

const USAGE: &str = "Usage: millford-lab days [options] ENTRY...

Prints a table of the days in the entries that bench runs wrote: score, worth, ceiling (1 less the price of the
machines), the worst windows and kind of request, the largest other prices and broken rules.";

/// Options of the command.
#[derive(Clone, Debug, PartialEq)]
pub struct DaysOptions {
    /// Entries.
    pub files: Vec<PathBuf>,
    /// Only days that are further than this below their ceiling, or broke a rule.
    pub below: f64,
}

/// Parses the command line; `None` after the help was printed.
///
/// # Errors
/// [`ArgumentError`] with the option or operand that is wrong.
pub fn parse(arguments: &[String]) -> Result<Option<DaysOptions>, ArgumentError> {
    let mut options = Options::new();
    options.optopt(
        "",
        "below",
        "only days this far below their ceiling, or with a broken rule (0)",
        "WORTH",
    );
    let matches = parse_files(options, USAGE, "entry", arguments)?;
    let Some(matches) = matches else {
        return Ok(None);
    };
    Ok(Some(DaysOptions {
        files: files(&matches),
        below: required_form(&matches, "below", 0.0, "is no number")?,
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
