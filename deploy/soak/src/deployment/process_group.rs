//! The processes of one machine, which are started, signalled and ended together.

use std::path::Path;

use rustix::process::Signal;
use tokio::time::{Instant, timeout_at};

use super::deploy_file::RoleProgram;
use super::process::{MachineProcess, ProcessError};

/// Processes of the roles of a machine. Dropping the value kills them.
#[derive(Debug, Default)]
pub struct ProcessGroup {
    processes: Vec<MachineProcess>,
}

impl ProcessGroup {
    /// Starts a process for each program.
    ///
    /// # Errors
    /// A process cannot be started; those that were started end.
    pub fn start(
        programs: &[RoleProgram],
        machine: &str,
        settings: &Path,
        logs: &Path,
    ) -> Result<Self, ProcessError> {
        let start = |program| MachineProcess::start(program, machine, settings, logs);
        let processes = programs.iter().map(start).collect::<Result<_, _>>()?;
        Ok(Self { processes })
    }

    /// Sends a signal to every process.
    pub fn signal(&self, signal: Signal) {
        for process in &self.processes {
            process.signal(signal);
        }
    }

    /// The process of one role.
    pub fn process(&mut self, role: usize) -> &mut MachineProcess {
        &mut self.processes[role]
    }

    /// The processes.
    #[must_use]
    pub fn processes(&self) -> &[MachineProcess] {
        &self.processes
    }

    /// Whether every process has exited.
    pub fn all_ended(&mut self) -> bool {
        self.processes.iter_mut().all(MachineProcess::has_ended)
    }

    /// Whether a process has exited.
    pub fn any_ended(&mut self) -> bool {
        self.processes.iter_mut().any(MachineProcess::has_ended)
    }

    /// Waits until every process has exited, or until `deadline`.
    pub async fn wait_until(&mut self, deadline: Instant) {
        let ended = async {
            for process in &mut self.processes {
                process.wait().await;
            }
        };
        let _ = timeout_at(deadline, ended).await;
    }

    /// Sends SIGKILL to every process that still runs and waits until all have exited.
    pub async fn kill(&mut self) {
        for process in &mut self.processes {
            process.kill().await;
        }
    }
}
