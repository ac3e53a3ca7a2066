//! Drives the service registry: backends register, retire and are removed, and processes read the list.

use std::time::Duration;

use crate::history::{BackendNumber, Record};
use crate::network::{MachineId, ProcessId};
use crate::world::event::{Event, RegistryEvent};
use crate::world::injected_defect::InjectedDefect;
use crate::world::process::ProcessLoss;
use crate::world::process_input::ProcessInput;
use crate::world::simulation::Simulation;

/// Interval at which control nodes read the list.
const POLL_PERIOD: Duration = Duration::from_millis(500);
/// Time between a backend's retirement and its shutdown.
const SHUTDOWN_AFTER: Duration = Duration::from_secs(8);
/// Time from the crash of a backend until the registry removes it.
const REMOVED_AFTER: Duration = Duration::from_secs(6);
/// Time from the restart or resumption of a backend until it registers.
const REGISTER_AFTER: Duration = Duration::from_millis(300);

/// Reason for which a backend is unavailable.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Unavailability {
    /// The process crashed; the registry will remove the backend.
    Crashed,
    /// The process is frozen; the registry keeps the backend.
    Frozen,
}

impl Simulation {
    /// Applies a change to the list and publishes it.
    pub(super) fn handle_registry(&mut self, event: RegistryEvent) {
        match event {
            RegistryEvent::Register { backend } => self.register_backend(backend),
            RegistryEvent::Remove { backend } => {
                if self.incarnation_of(ProcessId::Backend(backend)) == 0 {
                    self.registry.remove(backend);
                }
            }
            RegistryEvent::ShutDown { backend } => {
                self.registry.remove(backend);
                self.kill_process(ProcessId::Backend(backend), ProcessLoss::Crash);
            }
        }
        self.registry.publish();
    }

    fn register_backend(&mut self, number: u16) {
        let zone = self.zone(number);
        let Some(backend) = self.backends.get(&number) else {
            return;
        };
        if backend.process.running && !backend.retired {
            self.registry.register(number, backend.kind, zone);
        }
    }

    /// Retires a backend and starts a new one in its place.
    pub(super) fn retire_backend(&mut self, number: u16) {
        let Some(backend) = self.backends.get_mut(&number) else {
            return;
        };
        if backend.retired || !backend.process.running {
            return;
        }
        backend.retired = true;
        let kind = backend.kind;
        if self.options.defect != Some(InjectedDefect::UnlistedRetirement) {
            self.registry.drain(number);
        }
        self.registry.publish();
        // While the list is frozen, the retirement is not visible to any process.
        if self.registry.publishes_retirement(number) {
            self.record_unavailable(number);
        }
        let shut_down = RegistryEvent::ShutDown { backend: number };
        self.schedule_after(SHUTDOWN_AFTER, Event::Registry(shut_down));
        let replacement = self.add_backend(kind);
        self.start_process(ProcessId::Backend(replacement));
        self.handle_registry(RegistryEvent::Register {
            backend: replacement,
        });
    }

    fn record_unavailable(&mut self, number: u16) {
        let backend = BackendNumber(number);
        self.record(&Record::BackendUnavailable { backend });
    }

    /// Ends a freeze of the list and records the retirements that are published only now.
    pub(super) fn unfreeze_registry(&mut self) {
        for number in self.registry.unfreeze() {
            self.record_unavailable(number);
        }
    }

    /// Marks a backend as unavailable; other processes are ignored.
    pub(super) fn backend_unavailable(&mut self, process: ProcessId, why: Unavailability) {
        let ProcessId::Backend(number) = process else {
            return;
        };
        self.record_unavailable(number);
        if why == Unavailability::Crashed {
            let remove = RegistryEvent::Remove { backend: number };
            self.schedule_after(REMOVED_AFTER, Event::Registry(remove));
        }
    }

    /// Marks a backend as available, if it runs, is not frozen and not retired. Other processes are ignored.
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
        self.record(&Record::BackendAvailable { backend });
        let register = RegistryEvent::Register { backend: number };
        self.schedule_after(REGISTER_AFTER, Event::Registry(register));
    }

    /// Reads the list for a process, if it can reach the registry. For a control node the next read is
    /// scheduled.
    pub(super) fn read_registry(&mut self, process: ProcessId, incarnation: u64) {
        if self.incarnation_of(process) != incarnation {
            return;
        }
        if self
            .partitions
            .is_passable(process.machine(), MachineId::Registry)
        {
            self.deliver_input(process, incarnation, ProcessInput::Registry);
        }
        if matches!(process, ProcessId::Control(_)) {
            self.schedule_registry_read(POLL_PERIOD, process, incarnation);
        }
    }

    /// Schedules a read of the list.
    pub(super) fn schedule_registry_read(
        &mut self,
        delay: Duration,
        process: ProcessId,
        incarnation: u64,
    ) {
        let event = Event::ReadRegistry {
            process,
            incarnation,
        };
        self.schedule_after(delay, event);
    }
}
