//! Begins and ends faults. `process_fault_driver` and `machine_fault_driver` implement the effects on
//! processes, network and disks.

use std::time::Duration;

use crate::history::Record;
use crate::network::{MachineId, ProcessId};
use crate::scenario::{Fault, Target};
use crate::world::active_faults::{ActiveFault, Undo};
use crate::world::draws::FaultDraws;
use crate::world::event::Event;
use crate::world::operator_driver::KeyChange;
use crate::world::simulation::Simulation;

impl Simulation {
    /// Plans the scenario's faults at fixed times and its random ones.
    pub(super) fn plan_faults(&mut self) {
        for timed in self.scenario.faults.clone() {
            self.plan_fault(timed.at, timed.fault);
        }
        for draw in self.scenario.draws.clone() {
            let mut draws = FaultDraws {
                random: &mut self.random,
            };
            for timed in draws.draw_faults(&draw) {
                self.plan_fault(timed.at, timed.fault);
            }
        }
    }

    /// Schedules a fault after a delay.
    pub(super) fn plan_fault(&mut self, delay: Duration, fault: Fault) {
        let fault = self.faults.plan(fault);
        self.schedule_after(delay, Event::FaultBegins { fault });
    }

    /// Begins a planned fault.
    pub(super) fn begin_planned_fault(&mut self, number: usize) {
        let Some(fault) = self.faults.planned(number).cloned() else {
            return;
        };
        self.log(|| format!("FAULT {fault:?}"));
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
            } => self.fault_disks(target, fault, length),
            Fault::ClockJump { target, by } => self.jump_clocks(target, by),
            Fault::ClockDrift { target, ppm } => self.drift_clocks(target, ppm),
            Fault::Retire { target } => self.retire(target),
            Fault::Roll { kind } => self.plan_rolling_restart(kind),
            other => self.begin_traffic_fault(&other),
        }
    }

    /// Begins a fault of answers, registry, operators or load, which affects no machine.
    fn begin_traffic_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::Answers { fault, length } => {
                self.faults.add_answer_fault(fault);
                self.begin_fault(vec![Undo::CorrectAnswers(fault)], Vec::new(), length);
            }
            Fault::FrozenRegistry { length } => {
                self.registry.freeze();
                self.begin_fault(vec![Undo::UnfreezeRegistry], Vec::new(), length);
            }
            Fault::LostReplies { length } => {
                self.operators.start_losing_replies();
                self.begin_fault(vec![Undo::DeliverReplies], Vec::new(), length);
            }
            Fault::Burst { times, length } => {
                let times = times.max(1);
                self.callers.start_burst(times);
                self.begin_fault(vec![Undo::EndBurst(times)], Vec::new(), length);
            }
            Fault::HotTenant { length } => {
                self.callers.start_hot_tenant();
                self.begin_fault(vec![Undo::EndHotTenant], Vec::new(), length);
            }
            Fault::Race => self.race_operators(),
            Fault::Revoke => self.send_new_order(KeyChange::Revoke),
            Fault::Orders { count } => {
                self.operators.queue_orders(count.saturating_sub(1));
                self.send_new_order(KeyChange::Keep);
            }
            _ => {}
        }
    }

    /// Records the start of a fault that affects these machines, and schedules its end.
    pub(super) fn begin_fault(
        &mut self,
        undo: Vec<Undo>,
        machines: Vec<MachineId>,
        length: Duration,
    ) {
        let fault = self.faults.begin(ActiveFault {
            undo,
            machines: machines.clone(),
        });
        self.record(&Record::FaultBegan { fault, machines });
        self.schedule_after(length, Event::FaultEnds { fault });
    }

    /// Ends an active fault and reverts its effects.
    pub(super) fn end_fault(&mut self, number: u32) {
        let Some(fault) = self.faults.end(number) else {
            return;
        };
        for undo in fault.undo {
            self.undo(undo);
        }
        self.record(&Record::FaultEnded {
            fault: number,
            machines: fault.machines,
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
            Undo::Heal { from, to } => self.partitions.heal(from, to),
            Undo::RestoreDisk {
                control_node,
                restart,
            } => self.restore_disk(control_node, restart),
            Undo::CorrectAnswers(fault) => self.faults.remove_answer_fault(fault),
            Undo::UnfreezeRegistry => self.unfreeze_registry(),
            Undo::DeliverReplies => self.operators.stop_losing_replies(),
            Undo::EndBurst(times) => self.callers.end_burst(times),
            Undo::EndHotTenant => self.callers.end_hot_tenant(),
        }
    }

    fn retire(&mut self, target: Target) {
        for process in self.resolve(target) {
            if let ProcessId::Backend(number) = process {
                self.retire_backend(number);
            }
        }
    }
}

/// Returns the machines of processes in the same order; adjacent processes of one machine give one entry.
pub(super) fn machines_of(processes: &[ProcessId]) -> Vec<MachineId> {
    let mut machines: Vec<MachineId> = processes.iter().map(|it| it.machine()).collect();
    machines.dedup();
    machines
}
