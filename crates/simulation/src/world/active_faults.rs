//! Faults to come, faults under way and what they disturb.

use std::collections::{BTreeMap, VecDeque};

use millford_core::MonotonicTime;

use crate::network::{MachineId, ProcessId};
use crate::scenario::{AnswerFault, Fault};
use crate::world::backend::Answering;

/// What ends with a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undo {
    /// A process starts again.
    Start(ProcessId),
    /// A machine is back.
    MachineUp(MachineId),
    /// A frozen process goes on.
    Thaw(ProcessId),
    /// Packets pass again.
    Heal(MachineId, MachineId),
    /// The disk of a control node is well.
    RestoreDisk {
        /// Which machine.
        control_node: u16,
        /// Whether its process must be restarted.
        restart: bool,
    },
    /// Answers are right again.
    CorrectAnswers(AnswerFault),
    /// The registry's list moves again.
    UnfreezeRegistry,
    /// Operators get their answers again.
    DeliverReplies,
    /// The burst is over.
    EndBurst(u32),
    /// The hot tenant cools down.
    EndHotTenant,
}

/// A fault under way.
#[derive(Clone, Debug, Default)]
pub struct ActiveFault {
    /// What ends with it.
    pub undo: Vec<Undo>,
    /// Machines that it disturbs.
    pub machines: Vec<MachineId>,
}

/// All faults of a run.
#[derive(Default)]
pub struct ActiveFaults {
    /// Faults by the number that events use.
    pub planned: Vec<Fault>,
    /// Faults under way.
    pub active: BTreeMap<u32, ActiveFault>,
    /// Runs that backends began lately, for crossed answers and stray bytes.
    pub recent_runs: VecDeque<Answering>,
    /// Until when the disk of a control node answers nothing.
    pub stalls: BTreeMap<u16, MonotonicTime>,
    down: BTreeMap<MachineId, u32>,
    answers: Vec<AnswerFault>,
    next: u32,
}

impl ActiveFaults {
    /// Adds a fault and returns its number.
    pub fn plan(&mut self, fault: Fault) -> usize {
        self.planned.push(fault);
        self.planned.len() - 1
    }

    /// Begins a fault and returns its number among the active ones.
    pub fn begin(&mut self, active: ActiveFault) -> u32 {
        self.next += 1;
        self.active.insert(self.next, active);
        self.next
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

    /// Until when a stalled disk answers nothing.
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
