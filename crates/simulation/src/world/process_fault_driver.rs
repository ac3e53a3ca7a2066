//! Effects of faults on processes and their clocks.

use std::time::Duration;

use crate::history::{ProxyNodeNumber, Record};
use crate::network::{MachineId, ProcessId};
use crate::scenario::{Choice, Target, TargetKind};
use crate::world::active_faults::Undo;
use crate::world::event::Event;
use crate::world::fault_driver::machines_of;
use crate::world::process::ProcessLoss;
use crate::world::process_input::ProcessInput;
use crate::world::registry_driver::Unavailability;
use crate::world::simulation::Simulation;

impl Simulation {
    /// Kills the processes and starts them again after `down`.
    pub(super) fn kill(&mut self, target: Target, down: Duration) {
        let processes = self.resolve(target);
        let mut undo = Vec::new();
        for process in &processes {
            if self.incarnation_of(*process) == 0 {
                continue;
            }
            self.kill_process(*process, ProcessLoss::Crash);
            self.backend_unavailable(*process, Unavailability::Crashed);
            undo.push(Undo::Start(*process));
        }
        self.begin_fault(undo, machines_of(&processes), down);
    }

    /// Takes the machines down and starts them again after `down`, control nodes with an empty disk. Falls
    /// back to [`Self::kill`] if no disk may be lost.
    pub(super) fn wipe(&mut self, target: Target, down: Duration) {
        if !self.may_lose_disk(target) {
            self.kill(target, down);
            return;
        }
        let processes = self.resolve(target);
        let mut undo = Vec::new();
        for process in &processes {
            self.lose_machine(*process);
            if let ProcessId::Control(number) = process
                && let Some(control) = self.controls.get(number)
            {
                control.disk().wipe();
            }
            self.backend_unavailable(*process, Unavailability::Crashed);
            undo.push(Undo::MachineUp(process.machine()));
            undo.push(Undo::Start(*process));
        }
        self.begin_fault(undo, machines_of(&processes), down);
    }

    /// Removes control nodes for good, and starts an empty one for each after `down`, at a new address. Falls
    /// back to [`Self::kill`] for other targets, and if no disk may be lost.
    pub(super) fn replace(&mut self, target: Target, down: Duration) {
        if target.kind != TargetKind::ControlNode || !self.may_lose_disk(target) {
            self.kill(target, down);
            return;
        }
        let processes = self.resolve(target);
        let mut undo = Vec::new();
        let mut machines = machines_of(&processes);
        for process in &processes {
            // The machine is never marked as up again, so its address no longer answers.
            self.lose_machine(*process);
            if let ProcessId::Control(number) = process
                && let Some(control) = self.controls.get_mut(number)
            {
                control.lost = true;
            }
            let next = self.controls.keys().next_back().map_or(1, |last| last + 1);
            self.add_control(next);
            machines.push(MachineId::ControlNode(next));
            undo.push(Undo::Start(ProcessId::Control(next)));
        }
        self.begin_fault(undo, machines, down);
    }

    /// Returns whether a fault may destroy a disk. Losing a second disk before the shards are fully replicated
    /// again is outside the guarantee.
    fn may_lose_disk(&self, target: Target) -> bool {
        self.is_fully_replicated() && target.choice != Choice::All
    }

    fn lose_machine(&mut self, process: ProcessId) {
        self.kill_process(process, ProcessLoss::MachineLost);
        self.faults.machine_down(process.machine());
    }

    /// Suspends the processes for `length`; they then continue with their state.
    pub(super) fn freeze(&mut self, target: Target, length: Duration) {
        let processes = self.resolve(target);
        let mut undo = Vec::new();
        for process in &processes {
            if let Some(state) = self.process_mut(*process) {
                state.frozen += 1;
            }
            self.backend_unavailable(*process, Unavailability::Frozen);
            undo.push(Undo::Thaw(*process));
        }
        self.begin_fault(undo, machines_of(&processes), length);
    }

    /// Ends one freeze of a process, which continues if no other freeze is active.
    pub(super) fn thaw(&mut self, process: ProcessId) {
        let Some(state) = self.process_mut(process) else {
            return;
        };
        state.frozen = state.frozen.saturating_sub(1);
        let incarnation = state.incarnation;
        if let ProcessId::Agent(number) | ProcessId::Proxy(number) = process {
            let proxy_node = ProxyNodeNumber(number);
            self.record(&Record::ProxyNodeResumed { proxy_node });
        }
        self.schedule_after(
            Duration::ZERO,
            Event::Ready {
                process,
                incarnation,
            },
        );
        self.backend_available(process);
    }

    /// Moves the monotonic clocks of the processes ahead.
    pub(super) fn jump_clocks(&mut self, target: Target, by: Duration) {
        let now = self.now();
        let processes = self.resolve(target);
        let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
        for process in &processes {
            let Some(state) = self.process_mut(*process) else {
                continue;
            };
            state.clock.jump(now, micros);
            let incarnation = state.incarnation;
            if matches!(process, ProcessId::Proxy(_)) {
                self.deliver_input(*process, incarnation, ProcessInput::Timer);
            }
        }
        self.begin_fault(Vec::new(), machines_of(&processes), Duration::ZERO);
    }

    /// Sets the drift of the processes' monotonic clocks, in parts per million.
    pub(super) fn drift_clocks(&mut self, target: Target, ppm: i32) {
        let now = self.now();
        for process in self.resolve(target) {
            if let Some(state) = self.process_mut(process) {
                state.clock.set_drift(now, ppm);
            }
        }
    }
}
