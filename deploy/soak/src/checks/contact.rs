//! Decides at which moments a machine is in touch, so that the rules that are bound by time apply to it.

use crate::bounds::CONTACT;
use crate::history::{History, MachineEvent, MachineId, Moment};

/// Disruptions of a run, by machine.
#[derive(Debug)]
pub struct Contact<'a> {
    history: &'a History,
}

impl<'a> Contact<'a> {
    /// Reads the disruptions from a history.
    #[must_use]
    pub fn new(history: &'a History) -> Self {
        Self { history }
    }

    /// Whether nothing was done to the proxy machine from [`CONTACT`] before `from` until `until`, and it ran.
    #[must_use]
    pub fn undisturbed(&self, front: usize, from: Moment, until: Moment) -> bool {
        let machine = MachineId::Front(front);
        self.runs_at(machine, from)
            && !self.any(|id, event| id == machine && disturbs(event), from, until)
    }

    /// Whether nothing was done to any control machine from [`CONTACT`] before `at`.
    #[must_use]
    pub fn control_is_stable(&self, at: Moment) -> bool {
        !self.any(
            |id, event| matches!(id, MachineId::Control(_)) && disturbs(event),
            at,
            at,
        )
    }

    /// Number of starts of the proxy machine until `at`, which identifies the life of its processes.
    #[must_use]
    pub fn life(&self, front: usize, at: Moment) -> usize {
        let starts = self.events(MachineId::Front(front));
        starts
            .filter(|(moment, event)| *event == MachineEvent::Started && *moment <= at)
            .count()
    }

    /// Time of the last event of this kind on the proxy machine until `at`.
    #[must_use]
    pub fn last(&self, front: usize, kind: MachineEvent, at: Moment) -> Option<Moment> {
        let events = self.events(MachineId::Front(front));
        events
            .filter(|(moment, event)| *event == kind && *moment <= at)
            .map(|(moment, _)| moment)
            .last()
    }

    /// Whether an unplanned event struck the proxy machine from [`CONTACT`] before `from` until `until`.
    #[must_use]
    pub fn has_unplanned(&self, front: usize, from: Moment, until: Moment) -> bool {
        let machine = MachineId::Front(front);
        let unplanned = |event| {
            matches!(
                event,
                MachineEvent::Killed | MachineEvent::Frozen | MachineEvent::Thawed
            )
        };
        self.any(|id, event| id == machine && unplanned(event), from, until)
    }

    fn any(
        &self,
        matches: impl Fn(MachineId, MachineEvent) -> bool,
        from: Moment,
        until: Moment,
    ) -> bool {
        let first = from.saturating_sub(CONTACT);
        let mut events = self.history.machines.iter();
        events.any(|(at, id, event)| *at > first && *at <= until && matches(*id, *event))
    }

    fn runs_at(&self, machine: MachineId, at: Moment) -> bool {
        let events = self.events(machine);
        let last = events
            .filter(|(moment, event)| *moment <= at && changes_running(*event))
            .last();
        last.is_some_and(|(_, event)| matches!(event, MachineEvent::Started | MachineEvent::Thawed))
    }

    fn events(&self, machine: MachineId) -> impl Iterator<Item = (Moment, MachineEvent)> {
        let events = self.history.machines.iter();
        events
            .filter(move |(_, id, _)| *id == machine)
            .map(|(at, _, event)| (*at, *event))
    }
}

/// Whether a machine is out of touch for [`CONTACT`] after this event.
fn disturbs(event: MachineEvent) -> bool {
    !matches!(event, MachineEvent::HungUp | MachineEvent::EndedByItself)
}

fn changes_running(event: MachineEvent) -> bool {
    matches!(
        event,
        MachineEvent::Started
            | MachineEvent::Ended
            | MachineEvent::Killed
            | MachineEvent::Frozen
            | MachineEvent::Thawed
    )
}
