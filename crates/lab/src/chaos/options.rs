//! Options of the chaos command.

use std::path::PathBuf;

use getopts::{Matches, Options};

use super::fault_kind::FaultKind;
use crate::arguments::{ArgumentError, add_keep_logs, add_site, optional, site, value};
use crate::fleet::Site;

/// Options of the chaos command.
#[derive(Clone, Debug)]
pub struct ChaosOptions {
    /// Topology.
    pub site: Site,
    /// Length of the run.
    pub minutes: f64,
    /// Seed of the choice of faults.
    pub seed: u64,
    /// Only this fault, again and again.
    pub only: Option<FaultKind>,
    /// File for everything that was seen, request by request.
    pub history: Option<PathBuf>,
    /// File for the report.
    pub json: Option<PathBuf>,
    /// Keep settings, logs and data on disk.
    pub keep_logs: bool,
}

/// The command's options.
#[must_use]
pub fn getopts() -> Options {
    let mut options = Options::new();
    add_site(&mut options);
    options.optopt("", "minutes", "length of the run", "NUMBER");
    options.optopt("", "seed", "seed of the choice of faults", "NUMBER");
    options.optopt("", "only", "one fault, again and again", "FAULT");
    options.optopt("", "history", "file for every call, run and order", "FILE");
    options.optopt("", "json", "file for the report", "FILE");
    add_keep_logs(&mut options);
    options
}

impl ChaosOptions {
    /// Reads the options of the command line.
    ///
    /// # Errors
    /// [`ArgumentError`] for a value that cannot be used.
    pub fn read(matches: &Matches) -> Result<Self, ArgumentError> {
        Ok(Self {
            site: site(matches, Site::Reykjavik)?,
            minutes: value(matches, "minutes", 1.0)?,
            seed: value(matches, "seed", 1)?,
            only: optional(matches, "only")?,
            history: optional(matches, "history")?,
            json: optional(matches, "json")?,
            keep_logs: matches.opt_present("keep-logs"),
        })
    }
}
