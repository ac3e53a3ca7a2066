//! Starts, signals and ends one process of the fleet. Signals go to its process id only, never to a group.

use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::error::FleetError;
use super::ready_line::ReadyLine;

/// Longest wait for a ready line.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for a process to exit after SIGTERM; then it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Program, arguments and log file of one process.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Name used in error messages.
    pub name: String,
    /// Path of the executable.
    pub program: PathBuf,
    /// Command-line arguments, without the program name.
    pub arguments: Vec<String>,
    /// File that standard output and standard error are appended to.
    pub log: PathBuf,
}

/// One process of the fleet. Dropping the value kills the process.
#[derive(Debug)]
pub struct FleetProcess {
    spec: ProcessSpec,
    child: Option<Child>,
    ready: ReadyLine,
}

impl FleetProcess {
    /// Starts the process and waits for its ready line.
    ///
    /// # Errors
    /// [`FleetError::Io`] when it cannot be started, [`FleetError::EndedEarly`] when it exits before it is ready,
    /// [`FleetError::Timeout`] when it prints no ready line within [`READY_TIMEOUT`].
    pub async fn start(spec: ProcessSpec) -> Result<Self, FleetError> {
        let mut process = Self::spawn(spec)?;
        process.wait_ready().await?;
        Ok(process.process)
    }

    /// Starts the process without waiting for its ready line.
    ///
    /// # Errors
    /// [`FleetError::Io`] when its log cannot be opened or it cannot be started.
    pub fn spawn(spec: ProcessSpec) -> Result<StartingProcess, FleetError> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&spec.log)
            .map_err(FleetError::io(&spec.name))?;
        let errors = log.try_clone().map_err(FleetError::io(&spec.name))?;
        let mut child = Command::new(&spec.program)
            .args(&spec.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(errors))
            .kill_on_drop(true)
            .spawn()
            .map_err(FleetError::io(&spec.name))?;
        let (sender, ready) = oneshot::channel();
        if let Some(stdout) = child.stdout.take() {
            tokio::spawn(copy_output(stdout, log, sender));
        }
        let process = Self {
            spec,
            child: Some(child),
            ready: ReadyLine::default(),
        };
        Ok(StartingProcess { process, ready })
    }

    /// Kills the process, if it runs, and starts it again in the same way.
    ///
    /// # Errors
    /// As [`FleetProcess::start`].
    pub async fn restart(&mut self) -> Result<(), FleetError> {
        self.kill().await;
        *self = Self::start(self.spec.clone()).await?;
        Ok(())
    }

    /// Returns the program, arguments and log file that the process was started with.
    #[must_use]
    pub fn spec(&self) -> &ProcessSpec {
        &self.spec
    }

    /// Returns the addresses from the ready line.
    #[must_use]
    pub fn ready(&self) -> &ReadyLine {
        &self.ready
    }

    /// Returns the process id; `None` once the exit of the process has been observed.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Sends a signal to this process only. Returns false if the process has exited.
    pub fn signal(&self, signal: Signal) -> bool {
        let id = self.id().and_then(|id| i32::try_from(id).ok());
        let Some(pid) = id.and_then(Pid::from_raw) else {
            return false;
        };
        kill_process(pid, signal).is_ok()
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub async fn kill(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let _ = child.start_kill();
        let _ = child.wait().await;
    }

    /// Sends SIGTERM, after SIGCONT in case the process is stopped, and kills the process if it does not
    /// exit within `EXIT_TIMEOUT`. Returns the exit status if the process exited by itself.
    pub async fn shut_down(&mut self) -> Option<i32> {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let child = self.child.as_mut()?;
        let status = timeout(EXIT_TIMEOUT, child.wait()).await;
        self.kill().await;
        status.ok()?.ok()?.code()
    }
}

/// A process that has been started and has not yet printed its ready line.
#[derive(Debug)]
pub struct StartingProcess {
    process: FleetProcess,
    ready: oneshot::Receiver<ReadyLine>,
}

impl StartingProcess {
    async fn wait_ready(&mut self) -> Result<(), FleetError> {
        let name = &self.process.spec.name;
        match timeout(READY_TIMEOUT, &mut self.ready).await {
            Ok(Ok(ready)) => {
                self.process.ready = ready;
                Ok(())
            }
            Ok(Err(_)) => Err(FleetError::EndedEarly {
                name: name.clone(),
                log: self.process.spec.log.clone(),
            }),
            Err(_) => Err(FleetError::Timeout {
                what: format!("the ready line of {name}"),
                limit: READY_TIMEOUT,
            }),
        }
    }

    /// Waits for the ready line.
    ///
    /// # Errors
    /// [`FleetError::EndedEarly`] when the process exits before it is ready, [`FleetError::Timeout`] when it
    /// prints no ready line within [`READY_TIMEOUT`].
    pub async fn ready(mut self) -> Result<FleetProcess, FleetError> {
        self.wait_ready().await?;
        Ok(self.process)
    }
}

async fn copy_output(stdout: ChildStdout, log: std::fs::File, ready: oneshot::Sender<ReadyLine>) {
    let mut log = tokio::fs::File::from_std(log);
    let mut ready = Some(ready);
    let mut lines = BufReader::new(stdout).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(parsed) = ReadyLine::parse(&line)
            && let Some(ready) = ready.take()
        {
            let _ = ready.send(parsed);
        }
        let _ = log.write_all(format!("{line}\n").as_bytes()).await;
        let _ = log.flush().await;
    }
}
