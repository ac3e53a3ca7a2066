//! Options of the demonstration.

use getopts::{Matches, Options};

use crate::arguments::argument;
use crate::fleet::{FleetError, Site};

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Topology.
    pub site: Site,
    /// Leave the fleet up for people until a signal comes.
    pub keep: bool,
    /// Keep settings, logs and data on disk.
    pub keep_logs: bool,
}

/// The flags.
#[must_use]
pub fn getopts() -> Options {
    let mut options = Options::new();
    options.optopt("", "site", "topology", "demo|reykjavik|dakar");
    options.optflag("", "keep", "leave the fleet up and print its addresses");
    options.optflag(
        "",
        "keep-logs",
        "keep the folder of settings, logs and data",
    );
    options
}

impl DemoOptions {
    /// Reads the flags.
    pub fn read(matches: &Matches) -> Result<Self, FleetError> {
        let name = matches.opt_str("site").unwrap_or_else(|| "demo".to_owned());
        let site = Site::from_name(&name)
            .ok_or_else(|| argument(&format!("--site: unknown site \"{name}\"")))?;
        Ok(Self {
            site,
            keep: matches.opt_present("keep"),
            keep_logs: matches.opt_present("keep-logs"),
        })
    }
}
