//! A real agent process, measured for comparison with the simulated agents.

use std::path::Path;

use crate::error::ScaleError;
use crate::measure::ProcessSample;
use crate::rig::child::Child;
use crate::rig::ports::free_addresses;

/// A running `millford-agent` process without a proxy.
#[derive(Debug)]
pub struct AgentProcess {
    child: Child,
}

impl AgentProcess {
    /// Starts the agent and waits until it is ready. `seeds` are the control nodes' internal addresses.
    ///
    /// # Errors
    /// Fails when the process does not start or does not become ready in time.
    pub fn start(programs: &Path, folder: &Path, seeds: &[String]) -> Result<Self, ScaleError> {
        let addresses = free_addresses(2)?;
        let values = [
            ("--name", "real-agent".to_owned()),
            ("--zone", "zone-0".to_owned()),
            ("--local-address", addresses[0].to_string()),
            ("--http-address", addresses[1].to_string()),
            ("--seeds", seeds.join(",")),
            ("--log-level", "warn".to_owned()),
        ];
        let pairs = values.into_iter();
        let arguments: Vec<String> = pairs
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        let program = programs.join("millford-agent");
        let log = folder.join("agent.log");
        let child = Child::start(&program, &arguments, &log)?;
        Ok(Self { child })
    }

    /// Returns the process's processor time and memory; `None` when the process has exited.
    #[must_use]
    pub fn sample(&self) -> Option<ProcessSample> {
        ProcessSample::of_process(self.child.id())
    }
}
