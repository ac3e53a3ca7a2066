//! Options of the chaos command.

use std::path::PathBuf;

use getopts::{Matches, Options};

use super::fault_kind::FaultKind;
use crate::arguments::{argument, optional, value};
use crate::fleet::{FleetError, Site};

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
    /// File for everything that was seen, call by call.
    pub history: Option<PathBuf>,
    /// File for the report.
    pub json: Option<PathBuf>,
    /// Keep settings, logs and data on disk.
    pub keep_logs: bool,
}

/// The flags.
#[must_use]
pub fn getopts() -> Options {
    let mut options = Options::new();
    options.optopt("", "site", "topology", "demo|reykjavik|dakar");
    options.optopt("", "minutes", "length of the run", "NUMBER");
    options.optopt("", "seed", "seed of the choice of faults", "NUMBER");
    options.optopt("", "only", "one fault, again and again", "FAULT");
    options.optopt("", "history", "file for every call, run and order", "FILE");
    options.optopt("", "json", "file for the report", "FILE");
    options.optflag(
        "",
        "keep-logs",
        "keep the folder of settings, logs and data",
    );
    options
}

impl ChaosOptions {
    /// Reads the flags.
    pub fn read(matches: &Matches) -> Result<Self, FleetError> {
        let name: String = value(matches, "site", "reykjavik".to_owned())?;
        let site = Site::from_name(&name)
            .ok_or_else(|| argument(&format!("--site: unknown site \"{name}\"")))?;
        Ok(Self {
            site,
            minutes: value(matches, "minutes", 1.0)?,
            seed: value(matches, "seed", 1)?,
            only: optional(matches, "only")?,
            history: optional(matches, "history")?,
            json: optional(matches, "json")?,
            keep_logs: matches.opt_present("keep-logs"),
        })
    }
}
