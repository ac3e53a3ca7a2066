//! Command-line options of `millford-lab chaos`.

use std::path::PathBuf;

use getopts::{Matches, Options};

use super::fault_kind::FaultKind;
use crate::arguments::{ArgumentError, add_keep_logs, add_site, optional, site, value};
use crate::fleet::Site;

/// Options of the chaos command.
#[derive(Clone, Debug)]
pub struct ChaosOptions {
    /// Site whose fleet is started.
    pub site: Site,
    /// Duration of the run.
    pub minutes: f64,
    /// Seed of the random choice of faults.
    pub seed: u64,
    /// The only kind of fault to inject; absent for all kinds.
    pub only: Option<FaultKind>,
    /// File for the complete history: each request, execution and order.
    pub history: Option<PathBuf>,
    /// File for the report, as JSON.
    pub json: Option<PathBuf>,
    /// Whether to keep the folder of settings, logs and data after the run.
    pub keep_logs: bool,
}

/// Returns the options that the command accepts.
#[must_use]
pub fn getopts() -> Options {
    let mut options = Options::new();
    add_site(&mut options);
    options.optopt("", "minutes", "length of the run in minutes", "NUMBER");
    options.optopt("", "seed", "seed of the choice of faults", "NUMBER");
    options.optopt(
        "",
        "only",
        "inject only this kind of fault, repeatedly",
        "FAULT",
    );
    options.optopt(
        "",
        "history",
        "file for every request, execution and order",
        "FILE",
    );
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
