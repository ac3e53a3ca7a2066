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

/// Field of the operating system's status of a process with its largest resident memory.
const PEAK_MEMORY_FIELD: &str = "VmHWM:";

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
    role: String,
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
        Ok(Self {
            role: role.role.clone(),
            child,
        })
    }

    /// Sends a signal to this process only. Does nothing if it has ended.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Name of the role that the process runs.
    #[must_use]
    pub fn role(&self) -> &str {
        &self.role
    }

    /// Largest resident memory of the process so far, in bytes; `None` once it has exited.
    #[must_use]
    pub fn peak_memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(PEAK_MEMORY_FIELD))?;
        let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kilobytes * 1024)
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
