//! Effects of faults on network and disks.

use std::time::Duration;

use crate::disk::DiskCondition;
use crate::network::{MachineId, ProcessId};
use crate::scenario::{DiskFault, PartitionDirection, Target};
use crate::world::active_faults::Undo;
use crate::world::fault_driver::machines_of;
use crate::world::process::ProcessLoss;
use crate::world::simulation::Simulation;

/// Upper bound of the sync duration of a slow disk.
const MAX_SYNC: Duration = Duration::from_hours(1);

impl Simulation {
    /// Drops packets between the machines of the target and those of `from`, or all others.
    pub(super) fn partition(
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
                    undo.push(self.separate(*machine, *other));
                }
                if direction != PartitionDirection::Outward {
                    undo.push(self.separate(*other, *machine));
                }
            }
        }
        let mut disturbed = machines;
        if from.is_some() {
            disturbed.extend(others);
        }
        self.begin_fault(undo, disturbed, length);
    }

    fn separate(&mut self, from: MachineId, to: MachineId) -> Undo {
        self.partitions.partition(from, to);
        Undo::Heal { from, to }
    }

    fn all_machines(&self) -> Vec<MachineId> {
        let control_nodes = self.controls.keys();
        let control_nodes = control_nodes.map(|number| MachineId::ControlNode(*number));
        let proxy_nodes = self.proxies.keys();
        let proxy_nodes = proxy_nodes.map(|number| MachineId::ProxyNode(*number));
        let backends = self.backends.keys();
        let backends = backends.map(|number| MachineId::Backend(*number));
        let machines = control_nodes.chain(proxy_nodes).chain(backends);
        machines.chain([MachineId::Registry]).collect()
    }

    /// Resets every connection of the target's processes to other machines.
    pub(super) fn reset(&mut self, target: Target) {
        let processes = self.resolve(target);
        for process in &processes {
            self.reset_links(*process);
        }
        self.begin_fault(Vec::new(), machines_of(&processes), Duration::ZERO);
    }

    /// Makes the disks of control nodes faulty.
    pub(super) fn fault_disks(&mut self, target: Target, fault: DiskFault, length: Duration) {
        let processes = self.resolve(target);
        let until = self.now() + length;
        let mut undo = Vec::new();
        for process in &processes {
            let ProcessId::Control(control_node) = *process else {
                continue;
            };
            if let Some(control) = self.controls.get(&control_node) {
                control.disk().set_condition(condition_of(fault));
            }
            self.faults.stall_disk(control_node, until);
            undo.push(Undo::RestoreDisk {
                control_node,
                restart: fault == DiskFault::FailingSync,
            });
        }
        self.begin_fault(undo, machines_of(&processes), length);
    }

    /// Makes the disk of a control node healthy, and restarts its process if `restart`.
    pub(super) fn restore_disk(&mut self, control_node: u16, restart: bool) {
        if let Some(control) = self.controls.get(&control_node) {
            control.disk().set_condition(DiskCondition::Healthy);
        }
        if restart {
            // Stands for an operator who repairs the disk and restarts the process.
            let process = ProcessId::Control(control_node);
            self.kill_process(process, ProcessLoss::Crash);
            self.start_process(process);
        }
    }
}

fn condition_of(fault: DiskFault) -> DiskCondition {
    match fault {
        DiskFault::Slow(sync) => {
            let micros = sync.min(MAX_SYNC).as_micros();
            DiskCondition::Slow(u64::try_from(micros).unwrap_or(u64::MAX))
        }
        DiskFault::Stalled => DiskCondition::Stalled,
        DiskFault::Full => DiskCondition::Full,
        DiskFault::FailingSync => DiskCondition::FailingSync,
    }
}
