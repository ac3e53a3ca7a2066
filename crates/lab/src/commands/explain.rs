//! `millford-lab explain`: reports the lost value of requests, from the decision records in logs.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::PathBuf;

use getopts::Options;
use millford_decisions::{DecisionRecord, DecisionsError, LossReport, read_records};

use super::loss_chart;
use crate::arguments::{ArgumentError, files, parse_files, required_form};

/// Default share of its value that a late response earns.
const DEFAULT_LATE_SHARE: f64 = 0.3;

const USAGE: &str = "Usage: millford-lab explain [options] FILE...

Joins the decision records in the logs of forwarding proxies (setting decision_log_per_mille) and prints
the lost value by route and reason, second, zone, tenant and backend. FILE - is standard input.";

/// Options of the command.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainOptions {
    /// Log files; `-` stands for standard input.
    pub files: Vec<PathBuf>,
    /// Share of its value that a late response earns, from 0 to 1.
    pub late_share: f64,
    /// File for the chart; absent to draw none.
    pub plot: Option<PathBuf>,
    /// First second of the node's clock to include; requests that arrived earlier are ignored.
    pub from_second: u64,
}

/// Parses the command line. Returns `None` after printing the help.
///
/// # Errors
/// [`ArgumentError`] with the option or operand that is wrong.
pub fn parse(arguments: &[String]) -> Result<Option<ExplainOptions>, ArgumentError> {
    let mut options = Options::new();
    options.optopt(
        "",
        "late-share",
        "share of its value that a late response earns, 0 to 1 (0.3)",
        "SHARE",
    );
    options.optopt(
        "",
        "plot",
        "write a chart of the losses over time, as SVG",
        "FILE",
    );
    options.optopt("", "from", "ignore requests that arrived earlier", "SECOND");
    let matches = parse_files(options, USAGE, "log file", arguments)?;
    let Some(matches) = matches else {
        return Ok(None);
    };
    let late_share = required_form(
        &matches,
        "late-share",
        DEFAULT_LATE_SHARE,
        "must be a number",
    )?;
    if !(0.0..=1.0).contains(&late_share) {
        return Err(ArgumentError::Requirement {
            option: "late-share",
            requirement: "must be between 0 and 1",
        });
    }
    Ok(Some(ExplainOptions {
        files: files(&matches),
        late_share,
        plot: matches.opt_str("plot").map(PathBuf::from),
        from_second: required_form(&matches, "from", 0, "must be a whole number")?,
    }))
}

/// Reads the logs, prints the losses and writes the chart, if requested.
///
/// # Errors
/// Fails when a file cannot be read or written, or holds a record that cannot be read.
pub fn run(options: &ExplainOptions) -> Result<(), DecisionsError> {
    let mut records = Vec::new();
    for file in &options.files {
        records.extend(read_file(file)?);
    }
    records.retain(|record| record.at_ms / 1000 >= options.from_second);
    let report = LossReport::of(&records, options.late_share);
    print!("{report}");
    if let Some(path) = &options.plot {
        std::fs::write(path, loss_chart::draw_losses(&report)?)?;
    }
    Ok(())
}

fn read_file(file: &PathBuf) -> Result<Vec<DecisionRecord>, DecisionsError> {
    if file.as_os_str() == "-" {
        return read_records(io::stdin().lock());
    }
    read_records(BufReader::new(File::open(file)?))
}
