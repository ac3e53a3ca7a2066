//! Rolling restarts, and backends that become unavailable and available.

use std::time::Duration;

use crate::history::{BackendNumber, Record};
use crate::network::ProcessId;
use crate::scenario::{Choice, Fault, RollKind, Target, TargetKind};
use crate::world::event::{Event, RegistryEvent};
use crate::world::registry::REMOVED_AFTER;
use crate::world::site::Site;

const CONTROL_NODE_RESTART_PERIOD: Duration = Duration::from_secs(6);
const PROXY_NODE_RESTART_PERIOD: Duration = Duration::from_secs(2);
const MODEL_RESTART_PERIOD: Duration = Duration::from_secs(1);
const ROLL_DOWN: Duration = Duration::from_secs(1);
const REGISTER_AFTER: Duration = Duration::from_millis(300);

impl Site {
    pub(super) fn roll(&mut self, kind: RollKind) {
        let (target, every) = match kind {
            RollKind::ControlNodes => (TargetKind::ControlNode, CONTROL_NODE_RESTART_PERIOD),
            RollKind::ProxyNodes => (TargetKind::ProxyNode, PROXY_NODE_RESTART_PERIOD),
            RollKind::Models => (TargetKind::Model, MODEL_RESTART_PERIOD),
        };
        let all = Target {
            kind: target,
            choice: Choice::All,
        };
        let processes = self.resolve(all);
        let mut numbers: Vec<u16> = processes.into_iter().map(number_of).collect();
        numbers.dedup();
        for (place, number) in (0_u32..).zip(numbers) {
            let fault = match kind {
                // A retired backend no longer counts as present: the first is always the next.
                RollKind::Models => Fault::Retire {
                    target: numbered(target, 1),
                },
                _ => Fault::Kill {
                    target: numbered(target, number),
                    down: ROLL_DOWN,
                },
            };
            self.plan_fault(every * place, fault);
        }
    }

    pub(super) fn backend_unavailable(&mut self, process: ProcessId, dead: bool) {
        let ProcessId::Backend(number) = process else {
            return;
        };
        let backend = BackendNumber(number);
        self.record(Record::BackendUnavailable { backend });
        if dead {
            let notice = RegistryEvent::Remove { backend: number };
            self.schedule_after(REMOVED_AFTER, Event::Registry(notice));
        }
    }

    pub(super) fn backend_available(&mut self, process: ProcessId) {
        let ProcessId::Backend(number) = process else {
            return;
        };
        let retired = self.backends.get(&number).is_some_and(|it| it.retired);
        if retired || self.incarnation_of(process) == 0 {
            return;
        }
        let frozen = self.process(process).is_some_and(|state| state.frozen > 0);
        if frozen {
            return;
        }
        let backend = BackendNumber(number);
        self.record(Record::BackendAvailable { backend });
        let register = RegistryEvent::Register { backend: number };
        self.schedule_after(REGISTER_AFTER, Event::Registry(register));
    }
}

fn number_of(process: ProcessId) -> u16 {
    match process {
        ProcessId::Control(number)
        | ProcessId::Agent(number)
        | ProcessId::Proxy(number)
        | ProcessId::Backend(number) => number,
    }
}

fn numbered(kind: TargetKind, number: u16) -> Target {
    Target {
        kind,
        choice: Choice::Number(number),
    }
}
