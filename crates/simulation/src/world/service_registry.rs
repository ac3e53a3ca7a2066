//! Simulation of the platform's service registry. Its list trails reality.

use std::collections::BTreeMap;
use std::sync::Arc;

use millford_agent::{RegistryEntry as AgentEntry, RegistryView as AgentView};
use millford_api::state::BackendState;
use millford_control::{RegistryEntry, RegistryView};
use millford_registry::RegistryDeclaration;

use crate::world::addresses::{backend_address, backend_id};
use crate::world::backend::BackendKind;

/// Processor cores that every backend declares.
const CORES: u32 = 16;
/// Memory bandwidth that every backend declares, in GB/s.
const BANDWIDTH_GBPS: f64 = 400.0;
const MODEL_STAGE: &str = "generate";
const LOOKUP_STAGE: &str = "lookup";
const VERSION: &str = "1";
const ACTIVE: &str = "active";
const DRAINING: &str = "draining";

/// Models that every model backend declares.
pub const MODELS: [&str; 3] = ["scribe", "quiz", "once"];

/// Model that lookup backends declare.
pub const LOOKUP_MODEL: &str = "stations";

/// The registry's list, and what it publishes of it.
#[derive(Default)]
pub struct ServiceRegistry {
    entries: BTreeMap<u16, RegistryEntry>,
    /// The list as it was published last.
    view: Arc<RegistryView>,
    /// Number of active faults that keep the list from changing.
    freezes: u32,
    /// Backends retired while the list was frozen.
    unannounced: Vec<u16>,
}

impl ServiceRegistry {
    /// Lists a backend of a zone as active.
    pub fn register(&mut self, number: u16, kind: BackendKind, zone: String) {
        let (stage, models): (&str, &[&str]) = match kind {
            BackendKind::Lookup => (LOOKUP_STAGE, &[LOOKUP_MODEL]),
            BackendKind::Model => (MODEL_STAGE, &MODELS),
        };
        let declarations = models.iter().map(|model| RegistryDeclaration {
            model: (*model).to_owned(),
            version: VERSION.to_owned(),
            stage: stage.to_owned(),
            adapters: Vec::new(),
        });
        let entry = RegistryEntry {
            id: backend_id(number),
            address: backend_address(number),
            zone,
            cores: CORES,
            bandwidth_gbps: BANDWIDTH_GBPS,
            state: ACTIVE.to_owned(),
            declarations: declarations.collect(),
            ..RegistryEntry::default()
        };
        self.entries.insert(number, entry);
    }

    /// Lists a backend as draining.
    pub fn drain(&mut self, number: u16) {
        if let Some(entry) = self.entries.get_mut(&number) {
            DRAINING.clone_into(&mut entry.state);
        }
    }

    /// Drops a backend from the list.
    pub fn remove(&mut self, number: u16) {
        self.entries.remove(&number);
    }

    /// Publishes the list, unless it is frozen.
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

    /// The published list changes no more, until as many [`Self::unfreeze`].
    pub fn freeze(&mut self) {
        self.freezes += 1;
    }

    /// Ends a freeze. Returns the backends whose retirement is published only now.
    pub fn unfreeze(&mut self) -> Vec<u16> {
        self.freezes = self.freezes.saturating_sub(1);
        self.publish();
        if self.freezes > 0 {
            return Vec::new();
        }
        std::mem::take(&mut self.unannounced)
    }

    /// Whether a retirement is published at once; else [`Self::unfreeze`] returns it later.
    pub fn announces_retirement(&mut self, number: u16) -> bool {
        if self.freezes > 0 {
            self.unannounced.push(number);
            return false;
        }
        true
    }

    /// The list as control nodes read it.
    #[must_use]
    pub fn view(&self) -> Arc<RegistryView> {
        Arc::clone(&self.view)
    }

    /// The list as agents read it.
    #[must_use]
    pub fn agent_view(&self) -> AgentView {
        let entries = self.view.backends.iter().map(|entry| AgentEntry {
            id: entry.id.clone(),
            state: match entry.state.as_str() {
                DRAINING => BackendState::BackendDraining,
                _ => BackendState::BackendActive,
            },
        });
        AgentView {
            entries: entries.collect(),
        }
    }
}
