//! Command line of `millford-lab scale`.

use std::path::PathBuf;

use getopts::{Matches, Options};

use crate::error::ScaleError;
use crate::size::{FleetSize, PLANNED, SWEEP};

/// Requests per second of one node at the planned peak: 1,200 requests per second over 330 nodes.
pub const REQUESTS_PER_NODE: f64 = 1_200.0 / 330.0;

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct ScaleOptions {
    /// Fleet sizes to run, in this order.
    pub sizes: Vec<FleetSize>,
    /// Whether only the datagram exchange between proxies is measured; the fleet sizes are then ignored.
    pub exchange: bool,
    /// Duration of the measurement under steady traffic, in seconds.
    pub steady_seconds: u64,
    /// Number of configuration changes whose propagation is timed.
    pub changes: u32,
    /// Requests per second that each simulated node makes.
    pub requests_per_node: f64,
    /// Whether all control processes are killed and restarted at the end, to time how long the nodes take to
    /// reconnect.
    pub restart: bool,
    /// Folder that contains `millford-control` and `millford-agent`.
    pub programs: PathBuf,
    /// Folder that receives `scale.txt`, `scale.json` and `scale.svg`, or `exchange.txt` and `exchange.json`.
    pub output: PathBuf,
    /// Base seed of the traffic's random numbers; each node derives its own from it.
    pub seed: u64,
    /// Value of `--log-level` for the control processes.
    pub control_log_level: String,
}

/// Result of parsing the command line.
#[derive(Debug)]
pub enum Parsed {
    /// Run the test with these options.
    Run(ScaleOptions),
    /// Print this help text and exit.
    Help(String),
}

impl ScaleOptions {
    /// Parses the arguments after `scale`.
    ///
    /// # Errors
    /// Fails on an unknown flag, a positional argument, a value that is not a number, or when the path of this
    /// program cannot be determined.
    pub fn parse(arguments: &[String]) -> Result<Parsed, ScaleError> {
        let options = flags();
        let matches = options.parse(arguments)?;
        if let Some(free) = matches.free.first() {
            return Err(ScaleError::UnexpectedArgument {
                argument: free.clone(),
            });
        }
        if matches.opt_present("help") {
            let brief = "Measures the processor time, memory and network traffic of a fleet.\n\n\
                         Usage: millford-lab scale [options]";
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
    options.optopt("", "nodes", "simulated nodes (330)", "N");
    options.optopt("", "tenants", "tenants in the configuration (16000)", "N");
    options.optopt("", "backends", "backends in the registry (1200)", "N");
    options.optflag("", "sweep", "run a fixed set of fleet sizes and fit slopes");
    options.optflag(
        "",
        "exchange",
        "measure only the datagrams that 10 to 300 proxies exchange",
    );
    options.optopt("", "steady", "seconds of steady measurement (10)", "N");
    options.optopt("", "changes", "configuration changes to time (8)", "N");
    options.optopt(
        "",
        "requests",
        "requests per second and node (3.64)",
        "RATE",
    );
    options.optflag("", "no-restart", "skip the full restart of control");
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

/// Returns the folder given by `--programs`, by default the folder of this program.
fn program_folder(matches: &Matches) -> Result<PathBuf, ScaleError> {
    if let Some(folder) = matches.opt_str("programs") {
        return Ok(PathBuf::from(folder));
    }
    let own =
        std::env::current_exe().map_err(ScaleError::system("find the path of this program"))?;
    let folder = own.parent().map(std::path::Path::to_path_buf);
    Ok(folder.unwrap_or_default())
}
