//! Begins and ends faults.

use std::time::Duration;

use crate::disk::DiskCondition;
use crate::history::{ProxyNodeNumber, Record};
use crate::network::{MachineId, ProcessId};
use crate::scenario::{Choice, DiskFault, Fault, PartitionDirection, Target, TargetKind};
use crate::world::active_faults::{ActiveFault, Undo};
use crate::world::event::Event;
use crate::world::process_input::ProcessInput;
use crate::world::site::Site;

const MAX_BUSY: Duration = Duration::from_secs(3600);

impl Site {
    /// Plans the scenario's faults and those that the seed draws.
    pub fn plan_faults(&mut self) {
        for timed in self.scenario.faults.clone() {
            self.plan_fault(timed.at, timed.fault);
        }
        for draw in self.scenario.draws.clone() {
            for timed in self.draw_faults(&draw) {
                self.plan_fault(timed.at, timed.fault);
            }
        }
    }

    pub(super) fn plan_fault(&mut self, delay: Duration, fault: Fault) {
        let fault = self.faults.plan(fault);
        self.schedule_after(delay, Event::FaultBegins { fault });
    }

    /// A planned fault begins.
    pub fn fault_begins(&mut self, index: usize) {
        let Some(fault) = self.faults.planned.get(index).cloned() else {
            return;
        };
        let now = self.now();
        self.recorder.log(now, || format!("FAULT {fault:?}"));
        match fault {
            Fault::Kill { target, down } => self.kill(target, down),
            Fault::Wipe { target, down } => self.wipe(target, down),
            Fault::Replace { target, down } => self.replace(target, down),
            Fault::Freeze { target, length } => self.freeze(target, length),
            Fault::Partition {
                target,
                from,
                direction,
                length,
            } => self.partition(target, from, direction, length),
            Fault::Reset { target } => self.reset(target),
            Fault::Disk {
                target,
                fault,
                length,
            } => self.disk(target, fault, length),
            Fault::ClockJump { target, by } => self.jump_clocks(target, by),
            Fault::ClockDrift { target, ppm } => self.drift_clocks(target, ppm),
            Fault::Retire { target } => {
                for process in self.resolve(target) {
                    if let ProcessId::Backend(number) = process {
                        self.retire_backend(number);
                    }
                }
            }
            Fault::Answers { fault, length } => {
                self.faults.add_answer_fault(fault);
                self.begin_fault(vec![Undo::CorrectAnswers(fault)], Vec::new(), length);
            }
            Fault::FrozenRegistry { length } => {
                self.freeze_registry(true);
                self.begin_fault(vec![Undo::UnfreezeRegistry], Vec::new(), length);
            }
            Fault::Race => self.race_operators(),
            Fault::LostAnswers { length } => {
                self.operators.lost_reply_faults += 1;
                self.begin_fault(vec![Undo::DeliverReplies], Vec::new(), length);
            }
            Fault::Revoke => {
                self.new_order(true);
            }
            Fault::Burst { times, length } => {
                let times = times.max(1);
                self.callers.burst *= times;
                self.begin_fault(vec![Undo::EndBurst(times)], Vec::new(), length);
            }
            Fault::HotTenant { length } => {
                self.callers.hot_tenant_faults += 1;
                self.begin_fault(vec![Undo::EndHotTenant], Vec::new(), length);
            }
            Fault::Roll { kind } => self.roll(kind),
            Fault::Orders { count } => {
                self.operators.queued_orders += count.saturating_sub(1);
                self.new_order(false);
            }
        }
    }

    fn begin_fault(&mut self, undo: Vec<Undo>, machines: Vec<MachineId>, length: Duration) {
        let fault = self.faults.begin(ActiveFault {
            undo,
            machines: machines.clone(),
        });
        self.record(Record::FaultBegan { fault, machines });
        self.schedule_after(length, Event::FaultEnds { active: fault });
    }

    /// A running fault ends: its machines are back.
    pub fn fault_ends(&mut self, active: u32) {
        let Some(fault) = self.faults.active.remove(&active) else {
            return;
        };
        for undo in &fault.undo {
            self.undo(*undo);
        }
        let machines = fault.machines;
        self.record(Record::FaultEnded {
            fault: active,
            machines,
        });
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Start(process) => {
                self.start_process(process);
                self.backend_available(process);
            }
            Undo::MachineUp(machine) => self.faults.machine_up(machine),
            Undo::Thaw(process) => self.thaw(process),
            Undo::Heal(from, to) => self.partitions.heal(from, to),
            Undo::RestoreDisk {
                control_node,
                restart,
            } => self.restore_disk(control_node, restart),
            Undo::CorrectAnswers(fault) => self.faults.remove_answer_fault(fault),
            Undo::UnfreezeRegistry => self.freeze_registry(false),
            Undo::DeliverReplies => {
                self.operators.lost_reply_faults =
                    self.operators.lost_reply_faults.saturating_sub(1)
            }
            Undo::EndBurst(times) => self.callers.burst = (self.callers.burst / times).max(1),
            Undo::EndHotTenant => {
                self.callers.hot_tenant_faults = self.callers.hot_tenant_faults.saturating_sub(1)
            }
        }
    }

    fn kill(&mut self, target: Target, down: Duration) {
        let processes = self.resolve(target);
        let mut undo = Vec::new();
        for process in &processes {
            if self.incarnation_of(*process) == 0 {
                continue;
            }
            self.kill_process(*process, false);
            self.backend_unavailable(*process, true);
            undo.push(Undo::Start(*process));
        }
        self.begin_fault(undo, machines_of(&processes), down);
    }

    // Losing two disks before the first is made good again is beyond the guarantee: such a wipe
    // becomes a kill.
    fn wipe(&mut self, target: Target, down: Duration) {
        if !self.is_repaired() || target.choice == Choice::All {
            self.kill(target, down);
            return;
        }
        let processes = self.resolve(target);
        let mut undo = Vec::new();
        for process in &processes {
            self.kill_process(*process, true);
            self.faults.machine_down(process.machine());
            if let ProcessId::Control(number) = process
                && let Some(control) = self.controls.get(number)
            {
                control.disk().wipe();
            }
            self.backend_unavailable(*process, true);
            undo.push(Undo::MachineUp(process.machine()));
            undo.push(Undo::Start(*process));
        }
        self.begin_fault(undo, machines_of(&processes), down);
    }

    fn replace(&mut self, target: Target, down: Duration) {
        if target.kind != TargetKind::ControlNode {
            self.kill(target, down);
            return;
        }
        if !self.is_repaired() || target.choice == Choice::All {
            self.kill(target, down);
            return;
        }
        let processes = self.resolve(target);
        let mut undo = Vec::new();
        let mut machines = machines_of(&processes);
        for process in &processes {
            self.kill_process(*process, true);
            // The old address never answers again.
            self.faults.machine_down(process.machine());
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

    fn freeze(&mut self, target: Target, length: Duration) {
        let processes = self.resolve(target);
        let mut undo = Vec::new();
        for process in &processes {
            if let Some(state) = self.process_mut(*process) {
                state.frozen += 1;
            }
            self.backend_unavailable(*process, false);
            undo.push(Undo::Thaw(*process));
        }
        self.begin_fault(undo, machines_of(&processes), length);
    }

    fn thaw(&mut self, process: ProcessId) {
        let Some(state) = self.process_mut(process) else {
            return;
        };
        state.frozen = state.frozen.saturating_sub(1);
        let incarnation = state.incarnation;
        if let ProcessId::Agent(number) | ProcessId::Proxy(number) = process {
            let proxy_node = ProxyNodeNumber(number);
            self.record(Record::ProxyNodeResumed { proxy_node });
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

    fn partition(
        &mut self,
        target: Target,
        from: Option<Target>,
        direction: PartitionDirection,
        length: Duration,
    ) {
        let machines = machines_of(&self.resolve(target));
        let others = match from {
            Some(from) => machines_of(&self.resolve(from)),
            None => self.all_machines(),
        };
        let mut undo = Vec::new();
        for machine in &machines {
            for other in others.iter().filter(|other| *other != machine) {
                if direction != PartitionDirection::Inward {
                    undo.push(Undo::Heal(*machine, *other));
                }
                if direction != PartitionDirection::Outward {
                    undo.push(Undo::Heal(*other, *machine));
                }
            }
        }
        for partition in &undo {
            if let Undo::Heal(from, to) = partition {
                self.partitions.partition(*from, *to);
            }
        }
        let mut disturbed = machines;
        if from.is_some() {
            disturbed.extend(others);
        }
        self.begin_fault(undo, disturbed, length);
    }

    fn all_machines(&self) -> Vec<MachineId> {
        let control_nodes = self
            .controls
            .keys()
            .map(|number| MachineId::ControlNode(*number));
        let proxy_nodes = self
            .proxies
            .keys()
            .map(|number| MachineId::ProxyNode(*number));
        let backends = self.backends.keys();
        let backends = backends.map(|number| MachineId::Backend(*number));
        let others = control_nodes.chain(proxy_nodes).chain(backends);
        others.chain([MachineId::Registry]).collect()
    }

    fn reset(&mut self, target: Target) {
        let processes = self.resolve(target);
        for process in &processes {
            self.reset_links(*process);
        }
        self.begin_fault(Vec::new(), machines_of(&processes), Duration::ZERO);
    }

    fn disk(&mut self, target: Target, fault: DiskFault, length: Duration) {
        let processes = self.resolve(target);
        let until = self.now() + length;
        let mut undo = Vec::new();
        for process in &processes {
            let ProcessId::Control(control_node) = *process else {
                continue;
            };
            let condition = match fault {
                DiskFault::Slow(each) => {
                    let each = each.min(MAX_BUSY);
                    DiskCondition::Slow(u64::try_from(each.as_micros()).unwrap_or(u64::MAX))
                }
                DiskFault::Stalled => DiskCondition::Stalled,
                DiskFault::Full => DiskCondition::Full,
                DiskFault::FailingSync => DiskCondition::FailingSync,
            };
            if let Some(control) = self.controls.get(&control_node) {
                control.disk().set_condition(condition);
            }
            self.faults.stalls.insert(control_node, until);
            let restart = fault == DiskFault::FailingSync;
            undo.push(Undo::RestoreDisk {
                control_node,
                restart,
            });
        }
        self.begin_fault(undo, machines_of(&processes), length);
    }

    fn restore_disk(&mut self, control_node: u16, restart: bool) {
        if let Some(control) = self.controls.get(&control_node) {
            control.disk().set_condition(DiskCondition::Healthy);
        }
        if restart {
            // An operator changes the disk's cable and restarts the process.
            let process = ProcessId::Control(control_node);
            self.kill_process(process, false);
            self.start_process(process);
        }
    }

    fn jump_clocks(&mut self, target: Target, by: Duration) {
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

    fn drift_clocks(&mut self, target: Target, ppm: i32) {
        let now = self.now();
        for process in self.resolve(target) {
            if let Some(state) = self.process_mut(process) {
                state.clock.set_drift(now, ppm);
            }
        }
    }
}

fn machines_of(processes: &[ProcessId]) -> Vec<MachineId> {
    let mut machines: Vec<MachineId> = processes.iter().map(|it| it.machine()).collect();
    machines.dedup();
    machines
}
