//! One process of a machine.

use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use thiserror::Error;
use tokio::process::{Child, Command};

use super::deploy_file::RoleProgram;

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "MILLFORD_SETTINGS";

/// Reason why a process could not be started.
#[derive(Debug, Error)]
#[error("cannot start {program}: {source}")]
pub struct ProcessError {
    /// Path of the program or of its log.
    pub program: PathBuf,
    /// Error from the operating system.
    pub source: io::Error,
}

/// A process that the soak started. Dropping the value kills it.
#[derive(Debug)]
pub struct MachineProcess {
    child: Child,
}

impl MachineProcess {
    /// Starts the program of a role. Its output is appended to `logs/MACHINE-ROLE.log`.
    ///
    /// # Errors
    /// The log cannot be opened or the program cannot be started.
    pub fn start(
        role: &RoleProgram,
        machine: &str,
        settings: &Path,
        logs: &Path,
    ) -> Result<Self, ProcessError> {
        let failed = |source| ProcessError {
            program: role.program.clone(),
            source,
        };
        let path = logs.join(format!("{machine}-{}.log", role.role));
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(failed)?;
        let errors = log.try_clone().map_err(failed)?;
        let child = Command::new(&role.program)
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        Ok(Self { child })
    }

    /// Sends a signal to this process only. Does nothing if it has ended.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self) {
        let _ = self.child.wait().await;
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub async fn kill(&mut self) {
        let _ = self.child.start_kill();
        self.wait().await;
    }
}
