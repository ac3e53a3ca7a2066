//! Simulation of the platform's service registry. Its list trails reality.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use millford_agent::{RegistryEntry as AgentEntry, RegistryView as AgentView};
use millford_api::state::BackendState;
use millford_control::{RegistryEntry, RegistryView};
use millford_registry::RegistryDeclaration;

use crate::history::{BackendNumber, Record};
use crate::network::ProcessId;
use crate::world::defect::Defect;
use crate::world::event::{Event, RegistryEvent};
use crate::world::site::Site;

/// Period at which control nodes read the list.
pub const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Time between a backend's retirement and its leaving.
const SHUTDOWN_AFTER: Duration = Duration::from_secs(8);

/// Time until the list notices that a backend vanished.
pub const REMOVED_AFTER: Duration = Duration::from_secs(6);

const CORES: u32 = 16;
const BANDWIDTH_GBPS: f64 = 400.0;
const MODEL_STAGE: &str = "generate";
const LOOKUP_STAGE: &str = "lookup";
const VERSION: &str = "1";

/// Models that every model backend declares.
pub const MODELS: [&str; 3] = ["scribe", "quiz", "once"];

/// Model that lookup backends declare.
pub const LOOKUP_MODEL: &str = "stations";

/// The list.
#[derive(Default)]
pub struct RegistryList {
    entries: BTreeMap<u16, RegistryEntry>,
    /// The list as control nodes read it.
    pub view: Arc<RegistryView>,
    /// Number of faults that keep the list from changing.
    pub freezes: u32,
    /// Backends retired while the list stood still.
    pub unannounced: Vec<u16>,
}

impl RegistryList {
    /// Publishes the list, unless it stands still.
    pub fn publish(&mut self) {
        if self.freezes > 0 {
            return;
        }
        let backends = self.entries.values().cloned().collect();
        self.view = Arc::new(RegistryView {
            backends,
            ..RegistryView::default()
        });
    }

    /// The list as agents read it.
    #[must_use]
    pub fn agent_view(&self) -> AgentView {
        let entries = self.view.backends.iter().map(|entry| AgentEntry {
            id: entry.id.clone(),
            state: match entry.state.as_str() {
                "draining" => BackendState::BackendDraining,
                _ => BackendState::BackendActive,
            },
        });
        AgentView {
            entries: entries.collect(),
        }
    }
}

/// Address of a backend.
#[must_use]
pub fn backend_address(number: u16) -> String {
    format!("10.0.3.{number}:8000")
}

/// Number of the backend with an address.
#[must_use]
pub fn backend_at(address: &str) -> Option<u16> {
    let rest = address.strip_prefix("10.0.3.")?;
    rest.split(':').next()?.parse().ok()
}

/// Number of the backend with an id.
#[must_use]
pub fn backend_of_id(id: &str) -> Option<u16> {
    id.strip_prefix("backend-")?.parse().ok()
}

impl Site {
    /// The list changes.
    pub fn handle_registry(&mut self, event: RegistryEvent) {
        match event {
            RegistryEvent::Register { backend } => self.register_backend(backend),
            RegistryEvent::Remove { backend } => {
                let alive = self.incarnation_of(ProcessId::Backend(backend)) != 0;
                if !alive {
                    self.registry.entries.remove(&backend);
                }
            }
            RegistryEvent::ShutDown { backend } => {
                self.registry.entries.remove(&backend);
                self.kill_process(ProcessId::Backend(backend), false);
            }
        }
        self.registry.publish();
    }

    fn register_backend(&mut self, number: u16) {
        let Some(backend) = self.backends.get(&number) else {
            return;
        };
        if !backend.process.alive || backend.retired {
            return;
        }
        let (stage, models): (&str, &[&str]) = match backend.lookup {
            true => (LOOKUP_STAGE, &[LOOKUP_MODEL]),
            false => (MODEL_STAGE, &MODELS),
        };
        let declarations = models.iter().map(|model| RegistryDeclaration {
            model: (*model).to_owned(),
            version: VERSION.to_owned(),
            stage: stage.to_owned(),
            adapters: Vec::new(),
        });
        let entry = RegistryEntry {
            id: format!("backend-{number}"),
            address: backend_address(number),
            zone: self.zone(number),
            cores: CORES,
            bandwidth_gbps: BANDWIDTH_GBPS,
            state: "active".to_owned(),
            declarations: declarations.collect(),
            ..RegistryEntry::default()
        };
        self.registry.entries.insert(number, entry);
    }

    /// The platform retires a backend; a new one replaces it.
    pub fn retire_backend(&mut self, number: u16) {
        let Some(backend) = self.backends.get_mut(&number) else {
            return;
        };
        if backend.retired || !backend.process.alive {
            return;
        }
        backend.retired = true;
        let lookup = backend.lookup;
        if self.options.defect != Some(Defect::HidesRetirements)
            && let Some(entry) = self.registry.entries.get_mut(&number)
        {
            entry.state = "draining".to_owned();
        }
        self.registry.publish();
        // While the list stands still nobody can know of the retirement.
        match self.registry.freezes {
            0 => self.announce_retirement(number),
            _ => self.registry.unannounced.push(number),
        }
        let leave = RegistryEvent::ShutDown { backend: number };
        self.schedule_after(SHUTDOWN_AFTER, Event::Registry(leave));
        let replacement = self.add_backend(lookup);
        self.start_process(ProcessId::Backend(replacement));
        self.handle_registry(RegistryEvent::Register {
            backend: replacement,
        });
    }

    fn announce_retirement(&mut self, number: u16) {
        let backend = BackendNumber(number);
        self.record(Record::BackendUnavailable { backend });
    }

    /// The list stands still, or moves again.
    pub fn freeze_registry(&mut self, freezes: bool) {
        match freezes {
            true => self.registry.freezes += 1,
            false => self.registry.freezes = self.registry.freezes.saturating_sub(1),
        }
        self.registry.publish();
        if self.registry.freezes == 0 {
            for number in std::mem::take(&mut self.registry.unannounced) {
                self.announce_retirement(number);
            }
        }
    }
}
