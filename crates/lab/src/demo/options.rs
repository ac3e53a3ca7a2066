//! Options of the demonstration.

use getopts::{Matches, Options};

use crate::arguments::{ArgumentError, add_keep_logs, add_site, site};
use crate::fleet::Site;

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

/// The command's options.
#[must_use]
pub fn getopts() -> Options {
    let mut options = Options::new();
    add_site(&mut options);
    options.optflag("", "keep", "leave the fleet up and print its addresses");
    add_keep_logs(&mut options);
    options
}

impl DemoOptions {
    /// Reads the options of the command line.
    ///
    /// # Errors
    /// [`ArgumentError`] for a value that cannot be used.
    pub fn read(matches: &Matches) -> Result<Self, ArgumentError> {
        Ok(Self {
            site: site(matches, Site::Demo)?,
            keep: matches.opt_present("keep"),
            keep_logs: matches.opt_present("keep-logs"),
        })
    }
}
