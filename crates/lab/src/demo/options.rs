//! Command-line options of `millford-lab demo`.

use getopts::{Matches, Options};

use crate::arguments::{ArgumentError, add_keep_logs, add_site, site};
use crate::fleet::Site;

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Site whose fleet is started.
    pub site: Site,
    /// Whether to leave the fleet running, without traffic or faults, until SIGTERM or SIGINT.
    pub keep: bool,
    /// Whether to keep the folder of settings, logs and data after the run.
    pub keep_logs: bool,
}

/// Returns the options that the command accepts.
#[must_use]
pub fn getopts() -> Options {
    let mut options = Options::new();
    add_site(&mut options);
    options.optflag(
        "",
        "keep",
        "leave the fleet running and print its addresses",
    );
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
