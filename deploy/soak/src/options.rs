//! Options of a soak run.

use std::path::PathBuf;
use std::time::Duration;

/// What is run, and with what.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the plan, the clients and the operator.
    pub seed: u64,
    /// Number of proxy machines; each runs two processes.
    pub fronts: usize,
    /// Number of control machines.
    pub controls: usize,
    /// Time during which disruptions begin.
    pub disruption: Duration,
    /// Path of the deploy file.
    pub deploy_file: PathBuf,
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Folder in which the settings, logs and data of a run that breaks a rule are kept; `None` removes them.
    pub keep: Option<PathBuf>,
}

/// Default number of proxy machines.
pub const DEFAULT_FRONTS: usize = 4;
/// Default number of control machines.
pub const DEFAULT_CONTROLS: usize = 3;
/// Default time of disruptions.
pub const DEFAULT_DISRUPTION: Duration = Duration::from_secs(45);
