//! Planned and active faults, and what they disturb.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::network::{MachineId, ProcessId};
use crate::scenario::{AnswerFault, Fault};

/// What happens when a fault ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undo {
    /// A process starts again.
    Start(ProcessId),
    /// A machine is back.
    MachineUp(MachineId),
    /// A frozen process continues.
    Thaw(ProcessId),
    /// Packets pass again in one direction.
    Heal {
        /// Machine that sends.
        from: MachineId,
        /// Machine that receives.
        to: MachineId,
    },
    /// The disk of a control node is healthy again.
    RestoreDisk {
        /// Which control node.
        control_node: u16,
        /// Whether its process must be restarted.
        restart: bool,
    },
    /// Answers are correct again.
    CorrectAnswers(AnswerFault),
    /// The registry's list changes again.
    UnfreezeRegistry,
    /// Operators get their replies again.
    DeliverReplies,
    /// A burst of this factor is over.
    EndBurst(u32),
    /// One tenant no longer sends nearly everything.
    EndHotTenant,
}

/// An active fault.
#[derive(Clone, Debug, Default)]
pub struct ActiveFault {
    /// What happens when it ends.
    pub undo: Vec<Undo>,
    /// Machines that it disturbs.
    pub machines: Vec<MachineId>,
}

/// All faults of a run.
#[derive(Default)]
pub struct ActiveFaults {
    /// Planned faults by the number that events use.
    planned: Vec<Fault>,
    active: BTreeMap<u32, ActiveFault>,
    /// Until when the disk of a control node completes nothing.
    stalls: BTreeMap<u16, MonotonicTime>,
    /// Number of faults that hold a machine down.
    down: BTreeMap<MachineId, u32>,
    answers: Vec<AnswerFault>,
    last_active: u32,
}

impl ActiveFaults {
    /// Plans a fault and returns its number.
    pub fn plan(&mut self, fault: Fault) -> usize {
        self.planned.push(fault);
        self.planned.len() - 1
    }

    /// The planned fault with this number.
    #[must_use]
    pub fn planned(&self, number: usize) -> Option<&Fault> {
        self.planned.get(number)
    }

    /// Begins a fault and returns its number among the active ones.
    pub fn begin(&mut self, fault: ActiveFault) -> u32 {
        self.last_active += 1;
        self.active.insert(self.last_active, fault);
        self.last_active
    }

    /// Ends the active fault with this number.
    pub fn end(&mut self, number: u32) -> Option<ActiveFault> {
        self.active.remove(&number)
    }

    /// A machine is down, without a process that could refuse a connection.
    pub fn machine_down(&mut self, machine: MachineId) {
        *self.down.entry(machine).or_default() += 1;
    }

    /// A machine is back.
    pub fn machine_up(&mut self, machine: MachineId) {
        let Some(count) = self.down.get_mut(&machine) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.down.remove(&machine);
        }
    }

    /// Whether a machine is down.
    #[must_use]
    pub fn is_machine_down(&self, machine: MachineId) -> bool {
        self.down.contains_key(&machine)
    }

    /// If the disk of a control node stalls, it does so until then.
    pub fn stall_disk(&mut self, control_node: u16, until: MonotonicTime) {
        self.stalls.insert(control_node, until);
    }

    /// Until when a stalled disk completes nothing.
    #[must_use]
    pub fn stalled_until(&self, control_node: u16) -> MonotonicTime {
        self.stalls.get(&control_node).copied().unwrap_or_default()
    }

    /// Answers go wrong in this way from now on.
    pub fn add_answer_fault(&mut self, fault: AnswerFault) {
        self.answers.push(fault);
    }

    /// Answers no longer go wrong in this way.
    pub fn remove_answer_fault(&mut self, fault: AnswerFault) {
        if let Some(index) = self.answers.iter().position(|it| *it == fault) {
            self.answers.remove(index);
        }
    }

    /// Ways in which answers go wrong now.
    #[must_use]
    pub fn answer_faults(&self) -> &[AnswerFault] {
        &self.answers
    }
}
