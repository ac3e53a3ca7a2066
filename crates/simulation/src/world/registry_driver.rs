//! Registers, retires and removes backends, and lets processes read the service registry.

use std::time::Duration;

use crate::history::{BackendNumber, Record};
use crate::network::{MachineId, ProcessId};
use crate::world::defect::Defect;
use crate::world::event::{Event, RegistryEvent};
use crate::world::process::ProcessLoss;
use crate::world::process_input::ProcessInput;
use crate::world::site::Site;

/// Period at which control nodes read the list.
const POLL_PERIOD: Duration = Duration::from_millis(500);
/// Time between a backend's retirement and its shutdown.
const SHUTDOWN_AFTER: Duration = Duration::from_secs(8);
/// Time until the list drops a backend that vanished.
const REMOVED_AFTER: Duration = Duration::from_secs(6);
/// Time until a backend that is available again registers.
const REGISTER_AFTER: Duration = Duration::from_millis(300);

/// Why a backend no longer serves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Unavailability {
    /// Its process died: the registry will drop it.
    Dead,
    /// Its process is frozen.
    Frozen,
}

impl Site {
    /// The list changes.
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
        if backend.process.alive && !backend.retired {
            self.registry.register(number, backend.kind, zone);
        }
    }

    /// The platform retires a backend; a new one replaces it.
    pub(super) fn retire_backend(&mut self, number: u16) {
        let Some(backend) = self.backends.get_mut(&number) else {
            return;
        };
        if backend.retired || !backend.process.alive {
            return;
        }
        backend.retired = true;
        let kind = backend.kind;
        if self.options.defect != Some(Defect::HidesRetirements) {
            self.registry.drain(number);
        }
        self.registry.publish();
        // While the list is frozen nobody can know of the retirement.
        if self.registry.announces_retirement(number) {
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

    /// The list changes again.
    pub(super) fn unfreeze_registry(&mut self) {
        for number in self.registry.unfreeze() {
            self.record_unavailable(number);
        }
    }

    /// If the process is a backend, it no longer serves.
    pub(super) fn backend_unavailable(&mut self, process: ProcessId, why: Unavailability) {
        let ProcessId::Backend(number) = process else {
            return;
        };
        self.record_unavailable(number);
        if why == Unavailability::Dead {
            let remove = RegistryEvent::Remove { backend: number };
            self.schedule_after(REMOVED_AFTER, Event::Registry(remove));
        }
    }

    /// If the process is a backend that runs and is not retired, it serves again.
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

    /// A process reads the list, if it can reach the registry; control nodes do so periodically.
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
