//! The control machines: their processes and disks, and their replacement.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::deploy_file::RoleProgram;
use super::network::Network;
use super::process::ProcessError;
use super::process_group::ProcessGroup;
use super::seed_list::SeedList;
use super::settings_file::MachineSettings;
use crate::bounds::{CATCH_UP, GRACE, SEED_LAG};
use crate::history::{MachineEvent, MachineId, Recorder};

/// Zones of the control machines, one after the other.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A control machine. Its number, address and disk are its own; a replacement gets new ones.
#[derive(Debug)]
struct ControlMachine {
    number: usize,
    settings: MachineSettings,
    data: PathBuf,
    processes: ProcessGroup,
}

/// All control machines of the deployment.
#[derive(Debug)]
pub struct ControlMachines {
    machines: Vec<ControlMachine>,
    programs: Vec<RoleProgram>,
    network: Network,
    folder: PathBuf,
    seeds: SeedList,
    recorder: Recorder,
    next_number: usize,
}

impl ControlMachines {
    /// Describes `count` machines, whose processes are not started yet.
    #[must_use]
    pub fn new(
        count: usize,
        programs: Vec<RoleProgram>,
        network: Network,
        folder: &Path,
        seeds: SeedList,
        recorder: Recorder,
    ) -> Self {
        let mut machines = Self {
            machines: Vec::new(),
            programs,
            network,
            folder: folder.to_owned(),
            seeds,
            recorder,
            next_number: 0,
        };
        for _ in 0..count {
            let machine = machines.describe_next();
            machines.machines.push(machine);
        }
        machines.publish_seeds();
        machines
    }

    /// Number of machines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there is no machine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Starts all machines for the first time.
    ///
    /// # Errors
    /// A settings file or data folder cannot be written, or a process cannot be started.
    pub fn start_all(&mut self) -> Result<(), ProcessError> {
        for index in 0..self.machines.len() {
            self.start(index, true)?;
        }
        Ok(())
    }

    /// Kills a machine and starts it again after `down`, with its disk or with an empty one.
    ///
    /// # Errors
    /// The machine cannot be started again.
    pub async fn kill_and_restart(
        &mut self,
        index: usize,
        down: Duration,
        keeps_disk: bool,
    ) -> Result<(), ProcessError> {
        self.kill(index).await;
        sleep(down).await;
        if !keeps_disk {
            let data = self.machines[index].data.clone();
            remove_folder(&data)?;
        }
        self.start(index, false)
    }

    /// Kills all machines at once and starts them again after `down`.
    ///
    /// # Errors
    /// A machine cannot be started again.
    pub async fn kill_all_and_restart(&mut self, down: Duration) -> Result<(), ProcessError> {
        for index in 0..self.machines.len() {
            self.signal(index, Signal::KILL);
        }
        for index in 0..self.machines.len() {
            self.kill(index).await;
        }
        sleep(down).await;
        for index in 0..self.machines.len() {
            self.start(index, false)?;
        }
        Ok(())
    }

    /// Sends SIGTERM to a machine, waits for its end and starts it again after `down`.
    ///
    /// # Errors
    /// The machine cannot be started again.
    pub async fn terminate_and_restart(
        &mut self,
        index: usize,
        down: Duration,
    ) -> Result<(), ProcessError> {
        self.terminate(index).await;
        sleep(down).await;
        self.start(index, false)
    }

    /// Starts two empty machines, each of which catches up, and then sends SIGTERM to the two oldest; `gap` is the time
    /// from the end of the first to the signal to the second.
    ///
    /// # Errors
    /// A new machine cannot be started.
    pub async fn replace_two_as_planned(&mut self, gap: Duration) -> Result<(), ProcessError> {
        for _ in 0..2 {
            let successor = self.describe_next();
            self.machines.push(successor);
            self.publish_seeds();
            self.start(self.machines.len() - 1, false)?;
            sleep(CATCH_UP).await;
        }
        self.remove_oldest().await;
        sleep(gap).await;
        self.remove_oldest().await;
        Ok(())
    }

    async fn remove_oldest(&mut self) {
        let oldest = (0..self.machines.len()).min_by_key(|index| self.machines[*index].number);
        let oldest = oldest.unwrap_or_default();
        self.terminate(oldest).await;
        self.machines.remove(oldest);
        self.publish_seeds();
    }

    /// Stops a machine with SIGSTOP while each of the others is replaced as planned, one after the other. The machine's
    /// settings file names the new seeds when it runs again.
    ///
    /// # Errors
    /// A settings file cannot be written or a new machine cannot be started.
    pub async fn freeze_while_others_are_replaced(
        &mut self,
        index: usize,
        hangs_up: bool,
    ) -> Result<(), ProcessError> {
        self.machines.swap(0, index);
        self.record(0, MachineEvent::Frozen);
        self.signal(0, Signal::STOP);
        // From the last on, since each successor takes the position of the machine that it replaces.
        for other in (1..self.machines.len()).rev() {
            self.replace_as_planned(other, CATCH_UP).await?;
        }
        sleep(SEED_LAG).await;
        self.write_settings(0)?;
        self.signal(0, Signal::CONT);
        self.record(0, MachineEvent::Thawed);
        if hangs_up {
            self.hang_up(0);
        }
        Ok(())
    }

    /// Stops a machine with SIGSTOP for this time.
    pub async fn freeze(&mut self, index: usize, duration: Duration) {
        self.record(index, MachineEvent::Frozen);
        self.signal(index, Signal::STOP);
        sleep(duration).await;
        self.signal(index, Signal::CONT);
        self.record(index, MachineEvent::Thawed);
    }

    /// Kills a machine for good and starts an empty one at another address after `delay`.
    ///
    /// # Errors
    /// The new machine cannot be started.
    pub async fn replace(&mut self, index: usize, delay: Duration) -> Result<(), ProcessError> {
        self.kill(index).await;
        sleep(delay).await;
        self.machines[index] = self.describe_next();
        self.publish_seeds();
        self.start(index, false)
    }

    /// Starts an empty machine at another address, and sends SIGTERM to the one that it replaces after `delay`.
    ///
    /// # Errors
    /// The new machine cannot be started.
    pub async fn replace_as_planned(
        &mut self,
        index: usize,
        delay: Duration,
    ) -> Result<(), ProcessError> {
        let successor = self.describe_next();
        self.machines.push(successor);
        self.publish_seeds();
        self.start(self.machines.len() - 1, false)?;
        sleep(delay).await;
        self.terminate(index).await;
        self.machines.swap_remove(index);
        self.publish_seeds();
        Ok(())
    }

    /// Sends SIGHUP to a machine.
    pub fn hang_up(&self, index: usize) {
        self.record(index, MachineEvent::HungUp);
        self.signal(index, Signal::HUP);
    }

    /// Kills all processes and forgets the machines.
    pub fn stop(&mut self) {
        self.machines.clear();
    }

    /// Records the memory of the processes.
    pub fn record_memory(&self) {
        for machine in &self.machines {
            let id = MachineId::Control(machine.number);
            self.recorder.memory(id, &machine.processes);
        }
    }

    /// Records processes that have ended although nothing was done to them.
    pub fn record_own_ends(&mut self) {
        for machine in &mut self.machines {
            if machine.processes.any_ended() {
                let id = MachineId::Control(machine.number);
                self.recorder.machine(id, MachineEvent::EndedByItself);
            }
        }
    }

    fn describe_next(&mut self) -> ControlMachine {
        let number = self.next_number;
        self.next_number += 1;
        let data = self.folder.join(format!("data-{number}"));
        let zone = ZONES[number % ZONES.len()];
        ControlMachine {
            number,
            settings: MachineSettings::control(self.network, number, zone, data.clone()),
            data,
            processes: ProcessGroup::default(),
        }
    }

    fn publish_seeds(&self) {
        self.seeds
            .set(self.recorder.now(), self.operator_addresses());
    }

    /// Addresses at which the machines serve operators.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let machines = self.machines.iter();
        machines
            .map(|machine| self.network.operator(machine.number))
            .collect()
    }

    fn start(&mut self, index: usize, bootstrap: bool) -> Result<(), ProcessError> {
        let machine = &mut self.machines[index];
        machine.settings.set_bootstrap(bootstrap);
        std::fs::create_dir_all(&machine.data).map_err(|source| ProcessError {
            program: machine.data.clone(),
            source,
        })?;
        let path = self.write_settings(index)?;
        let machine = &mut self.machines[index];
        let name = machine.settings.name();
        machine.processes = ProcessGroup::start(&self.programs, name, &path, &self.folder)?;
        self.record(index, MachineEvent::Started);
        Ok(())
    }

    /// Writes a machine's settings file with the current seeds. Returns its path.
    fn write_settings(&mut self, index: usize) -> Result<PathBuf, ProcessError> {
        let seeds = self.seeds.lagging(self.recorder.now());
        let settings = &mut self.machines[index].settings;
        settings.set_seeds(seeds);
        let path = self.folder.join(format!("{}.toml", settings.name()));
        let written = settings.write(&path);
        written.map_err(|source| ProcessError {
            program: path.clone(),
            source,
        })?;
        Ok(path)
    }

    async fn kill(&mut self, index: usize) {
        self.record(index, MachineEvent::Killed);
        self.machines[index].processes.kill().await;
    }

    async fn terminate(&mut self, index: usize) {
        self.record(index, MachineEvent::Terminated);
        self.signal(index, Signal::TERM);
        let processes = &mut self.machines[index].processes;
        processes.wait_until(Instant::now() + GRACE).await;
        processes.kill().await;
        self.record(index, MachineEvent::Ended);
    }

    fn signal(&self, index: usize, signal: Signal) {
        self.machines[index].processes.signal(signal);
    }

    fn record(&self, index: usize, event: MachineEvent) {
        let id = MachineId::Control(self.machines[index].number);
        self.recorder.machine(id, event);
    }
}

fn remove_folder(path: &Path) -> Result<(), ProcessError> {
    std::fs::remove_dir_all(path).map_err(|source| ProcessError {
        program: path.to_owned(),
        source,
    })
}
