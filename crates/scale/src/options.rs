//! Command line of `millford-lab scale`.

use std::path::PathBuf;

use getopts::{Matches, Options};

use crate::error::ScaleError;
use crate::size::{FleetSize, PLANNED, SWEEP};

/// Requests a second that one node carries at the planned peak: 1,200 over 330 nodes.
pub const REQUESTS_PER_NODE: f64 = 1_200.0 / 330.0;

/// What to run.
#[derive(Clone, Debug)]
pub struct ScaleOptions {
    /// Sizes, in order.
    pub sizes: Vec<FleetSize>,
    /// Whether the exchange between proxies is measured, and nothing else.
    pub exchange: bool,
    /// Time of steady measurement, in seconds.
    pub steady_seconds: u64,
    /// Configuration changes that are timed.
    pub changes: u32,
    /// Requests a second and node.
    pub requests_per_node: f64,
    /// Whether control is restarted as a whole.
    pub restart: bool,
    /// Folder of the programs under test.
    pub programs: PathBuf,
    /// Where `scale.txt`, `scale.json` and `scale.svg` go.
    pub output: PathBuf,
    /// Seed of the traffic's random numbers.
    pub seed: u64,
    /// Least severe level that control processes log.
    pub control_log_level: String,
}

/// Outcome of reading the command line.
#[derive(Debug)]
pub enum Parsed {
    /// Run this.
    Run(ScaleOptions),
    /// Print this.
    Help(String),
}

impl ScaleOptions {
    /// Reads the arguments after `scale`.
    ///
    /// # Errors
    /// Fails on an unknown flag or a value that is no number.
    pub fn parse(arguments: &[String]) -> Result<Parsed, ScaleError> {
        let options = flags();
        let matches = options.parse(arguments)?;
        if let Some(free) = matches.free.first() {
            return Err(ScaleError::UnexpectedArgument {
                argument: free.clone(),
            });
        }
        if matches.opt_present("help") {
            let brief = "Measures what a fleet costs.\n\nUsage: millford-lab scale [options]";
            return Ok(Parsed::Help(options.usage(brief)));
        }
        Self::from_matches(&matches).map(Parsed::Run)
    }

    fn from_matches(matches: &Matches) -> Result<Self, ScaleError> {
        let single = FleetSize {
            nodes: number(matches, "nodes", PLANNED.nodes)?,
            tenants: number(matches, "tenants", PLANNED.tenants)?,
            backends: number(matches, "backends", PLANNED.backends)?,
        };
        let sweep = matches.opt_present("sweep");
        let output = matches.opt_str("output");
        Ok(Self {
            sizes: if sweep { SWEEP.to_vec() } else { vec![single] },
            exchange: matches.opt_present("exchange"),
            steady_seconds: number(matches, "steady", 10)?,
            changes: number(matches, "changes", 8)?,
            requests_per_node: number(matches, "requests", REQUESTS_PER_NODE)?,
            restart: !matches.opt_present("no-restart"),
            programs: program_folder(matches)?,
            output: PathBuf::from(output.unwrap_or_else(|| "target/scale".to_owned())),
            seed: number(matches, "seed", 1)?,
            control_log_level: matches
                .opt_str("control-log")
                .unwrap_or_else(|| "warn".to_owned()),
        })
    }
}

fn flags() -> Options {
    let mut options = Options::new();
    options.optopt("", "nodes", "hollow nodes (330)", "N");
    options.optopt("", "tenants", "tenants in the configuration (16000)", "N");
    options.optopt("", "backends", "backends in the registry (1200)", "N");
    options.optflag("", "sweep", "run the set of sizes and fit slopes");
    options.optflag(
        "",
        "exchange",
        "measure what 10 to 300 proxies tell each other, and nothing else",
    );
    options.optopt("", "steady", "seconds of steady measurement (10)", "N");
    options.optopt("", "changes", "configuration changes to time (8)", "N");
    options.optopt("", "requests", "requests a second and node (3.64)", "RATE");
    options.optflag("", "no-restart", "leave out the full restart of control");
    options.optopt(
        "",
        "programs",
        "folder of millford-control and millford-agent",
        "FOLDER",
    );
    options.optopt(
        "",
        "output",
        "folder of the report (target/scale)",
        "FOLDER",
    );
    options.optopt("", "seed", "seed of the traffic (1)", "N");
    options.optopt(
        "",
        "control-log",
        "log level of control processes (warn)",
        "LEVEL",
    );
    options.optflag("h", "help", "print this help");
    options
}

fn number<T: std::str::FromStr>(
    matches: &Matches,
    flag: &'static str,
    default: T,
) -> Result<T, ScaleError> {
    let Some(text) = matches.opt_str(flag) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| ScaleError::NotANumber { flag, value: text })
}

/// The programs lie beside this one unless told otherwise.
fn program_folder(matches: &Matches) -> Result<PathBuf, ScaleError> {
    if let Some(folder) = matches.opt_str("programs") {
        return Ok(PathBuf::from(folder));
    }
    let own = std::env::current_exe().map_err(ScaleError::system("find this program"))?;
    let folder = own.parent().map(std::path::Path::to_path_buf);
    Ok(folder.unwrap_or_default())
}
