//! Planned and active faults, and the state that they leave on machines.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::network::{MachineId, ProcessId};
use crate::scenario::{AnswerFault, Fault};

/// An action that reverts a part of a fault when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undo {
    /// Starts a process that the fault ended, or a control node that replaces a lost one.
    Start(ProcessId),
    /// Marks a machine as up.
    MachineUp(MachineId),
    /// Resumes a frozen process.
    Thaw(ProcessId),
    /// Ends a partition in one direction.
    Heal {
        /// Machine whose packets were dropped.
        from: MachineId,
        /// Machine that the packets were sent to.
        to: MachineId,
    },
    /// Makes the disk of a control node healthy.
    RestoreDisk {
        /// Number of the control node.
        control_node: u16,
        /// Whether the process of the control node is restarted.
        restart: bool,
    },
    /// Ends a fault in the answers of backends.
    CorrectAnswers(AnswerFault),
    /// Ends a freeze of the registry's published list.
    UnfreezeRegistry,
    /// Ends a loss of replies to operators.
    DeliverReplies,
    /// Ends a burst of this factor.
    EndBurst(u32),
    /// Ends the dominance of one tenant.
    EndHotTenant,
}

/// A fault that has begun and not ended.
#[derive(Clone, Debug, Default)]
pub struct ActiveFault {
    /// Actions that revert the fault when it ends, in order.
    pub undo: Vec<Undo>,
    /// Machines that the fault affects.
    pub machines: Vec<MachineId>,
}

/// All faults of a run.
#[derive(Default)]
pub struct ActiveFaults {
    /// Planned faults; an event refers to one by its index.
    planned: Vec<Fault>,
    active: BTreeMap<u32, ActiveFault>,
    /// End of the last disk fault, by control node; a stalled disk completes no sync before.
    stalls: BTreeMap<u16, MonotonicTime>,
    /// Number of active faults that keep a machine down; no entry for 0.
    down: BTreeMap<MachineId, u32>,
    answers: Vec<AnswerFault>,
    last_active: u32,
}

impl ActiveFaults {
    /// Adds a planned fault and returns its number.
    pub fn plan(&mut self, fault: Fault) -> usize {
        self.planned.push(fault);
        self.planned.len() - 1
    }

    /// Returns the planned fault with this number.
    #[must_use]
    pub fn planned(&self, number: usize) -> Option<&Fault> {
        self.planned.get(number)
    }

    /// Adds an active fault and returns its number.
    pub fn begin(&mut self, fault: ActiveFault) -> u32 {
        self.last_active += 1;
        self.active.insert(self.last_active, fault);
        self.last_active
    }

    /// Removes and returns the active fault with this number.
    pub fn end(&mut self, number: u32) -> Option<ActiveFault> {
        self.active.remove(&number)
    }

    /// Marks a machine as down: connection requests to it get no answer, not even a refusal.
    pub fn machine_down(&mut self, machine: MachineId) {
        *self.down.entry(machine).or_default() += 1;
    }

    /// Removes one mark of [`Self::machine_down`].
    pub fn machine_up(&mut self, machine: MachineId) {
        let Some(count) = self.down.get_mut(&machine) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.down.remove(&machine);
        }
    }

    /// Returns whether a machine is down.
    #[must_use]
    pub fn is_machine_down(&self, machine: MachineId) -> bool {
        self.down.contains_key(&machine)
    }

    /// Sets the time until which the disk of a control node completes no sync if it is stalled.
    pub fn stall_disk(&mut self, control_node: u16, until: MonotonicTime) {
        self.stalls.insert(control_node, until);
    }

    /// Returns the time until which a stalled disk completes no sync.
    #[must_use]
    pub fn stalled_until(&self, control_node: u16) -> MonotonicTime {
        self.stalls.get(&control_node).copied().unwrap_or_default()
    }

    /// Activates a fault in the answers of backends.
    pub fn add_answer_fault(&mut self, fault: AnswerFault) {
        self.answers.push(fault);
    }

    /// Deactivates one fault of this kind in the answers of backends.
    pub fn remove_answer_fault(&mut self, fault: AnswerFault) {
        if let Some(index) = self.answers.iter().position(|it| *it == fault) {
            self.answers.remove(index);
        }
    }

    /// Returns the active faults in the answers of backends.
    #[must_use]
    pub fn answer_faults(&self) -> &[AnswerFault] {
        &self.answers
    }
}
