//! A proxy machine: the processes of its roles, and what may happen to it.

use std::path::PathBuf;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::{Instant, sleep, timeout};

use super::deploy_file::RoleProgram;
use super::process::{MachineProcess, ProcessError};
use super::process_group::ProcessGroup;
use super::seed_list::SeedList;
use super::settings_file::MachineSettings;
use crate::bounds::GRACE;
use crate::history::{MachineEvent, MachineId, Recorder};
use crate::plan::{DrainSignal, DrainSignalKind};

/// Interval at which the settings file of a stopped machine is written anew.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// A proxy machine.
#[derive(Debug)]
pub struct FrontMachine {
    id: MachineId,
    programs: Vec<RoleProgram>,
    processes: ProcessGroup,
    settings: MachineSettings,
    folder: PathBuf,
    seeds: SeedList,
    recorder: Recorder,
}

impl FrontMachine {
    /// Describes a machine whose processes are not started yet. Its settings file and logs are kept in `folder`.
    #[must_use]
    pub fn new(
        index: usize,
        programs: Vec<RoleProgram>,
        settings: MachineSettings,
        folder: PathBuf,
        seeds: SeedList,
        recorder: Recorder,
    ) -> Self {
        Self {
            id: MachineId::Front(index),
            programs,
            processes: ProcessGroup::default(),
            settings,
            folder,
            seeds,
            recorder,
        }
    }

    /// Starts the processes. `bootstrap` is set at the first start of the whole system only.
    ///
    /// # Errors
    /// The settings file cannot be written or a process cannot be started.
    pub fn start(&mut self, bootstrap: bool) -> Result<(), ProcessError> {
        self.settings.set_bootstrap(bootstrap);
        self.write_settings()?;
        self.processes = ProcessGroup::start(
            &self.programs,
            self.settings.name(),
            &self.settings_path(),
            &self.folder,
        )?;
        self.record(MachineEvent::Started);
        Ok(())
    }

    /// Writes the settings file with the current seeds.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write_settings(&mut self) -> Result<(), ProcessError> {
        self.settings
            .set_seeds(self.seeds.lagging(self.recorder.now()));
        let path = self.settings_path();
        self.settings.write(&path).map_err(|source| ProcessError {
            program: path,
            source,
        })
    }

    /// Sends SIGTERM to every process and waits until all have ended, at most [`GRACE`]; then they are killed. A further
    /// signal may follow before the end.
    pub async fn terminate(&mut self, meanwhile: Option<DrainSignal>) {
        self.record(MachineEvent::Terminated);
        self.processes.signal(Signal::TERM);
        let deadline = Instant::now() + GRACE;
        if let Some(signal) = meanwhile {
            let signal_at = Instant::now() + signal.after;
            self.processes.wait_until(deadline.min(signal_at)).await;
            if !self.processes.all_ended() {
                self.send_while_draining(signal.kind).await;
            }
        }
        self.processes.wait_until(deadline).await;
        self.processes.kill().await;
        self.record(MachineEvent::Ended);
    }

    async fn send_while_draining(&mut self, kind: DrainSignalKind) {
        match kind {
            DrainSignalKind::TerminateAgain => self.processes.signal(Signal::TERM),
            DrainSignalKind::HangUp => {
                self.record(MachineEvent::HungUp);
                self.processes.signal(Signal::HUP);
            }
            DrainSignalKind::Freeze(duration) => self.stop_for(duration).await,
        }
    }

    /// Sends SIGKILL to every process.
    pub async fn kill(&mut self) {
        self.record(MachineEvent::Killed);
        self.processes.kill().await;
    }

    /// Ends the process of one role and starts it again after `down`.
    ///
    /// # Errors
    /// The process cannot be started.
    pub async fn restart_role(
        &mut self,
        role: usize,
        is_graceful: bool,
        down: Duration,
    ) -> Result<(), ProcessError> {
        let role = role % self.programs.len();
        if is_graceful {
            self.record(MachineEvent::Terminated);
            let process = self.processes.process(role);
            process.signal(Signal::TERM);
            let _ = timeout(GRACE, process.wait()).await;
            process.kill().await;
            self.record(MachineEvent::Ended);
        } else {
            self.record(MachineEvent::Killed);
            self.processes.process(role).kill().await;
        }
        sleep(down).await;
        self.write_settings()?;
        *self.processes.process(role) = MachineProcess::start(
            &self.programs[role],
            self.settings.name(),
            &self.settings_path(),
            &self.folder,
        )?;
        self.record(MachineEvent::Started);
        Ok(())
    }

    /// Stops every process with SIGSTOP for this time, while the settings file is kept up to date.
    ///
    /// # Errors
    /// The settings file cannot be written.
    pub async fn freeze(&mut self, duration: Duration) -> Result<(), ProcessError> {
        self.record(MachineEvent::Frozen);
        self.processes.signal(Signal::STOP);
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.write_settings()?;
            sleep(SETTINGS_INTERVAL.min(end - Instant::now())).await;
        }
        self.write_settings()?;
        self.processes.signal(Signal::CONT);
        self.record(MachineEvent::Thawed);
        Ok(())
    }

    async fn stop_for(&mut self, duration: Duration) {
        self.record(MachineEvent::Frozen);
        self.processes.signal(Signal::STOP);
        sleep(duration).await;
        self.processes.signal(Signal::CONT);
        self.record(MachineEvent::Thawed);
    }

    /// Sends SIGHUP to every process, after the settings file was written with the current seeds.
    ///
    /// # Errors
    /// The settings file cannot be written.
    pub fn hang_up(&mut self) -> Result<(), ProcessError> {
        self.write_settings()?;
        self.record(MachineEvent::HungUp);
        self.processes.signal(Signal::HUP);
        Ok(())
    }

    /// Records the memory of the processes.
    pub fn record_memory(&self) {
        self.recorder.memory(self.id, &self.processes);
    }

    /// Records processes that have ended although nothing was done to them.
    pub fn record_own_ends(&mut self) {
        if self.processes.any_ended() {
            self.record(MachineEvent::EndedByItself);
        }
    }

    fn record(&self, event: MachineEvent) {
        self.recorder.machine(self.id, event);
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.settings.name()))
    }
}
