//! Simulation of the platform's service registry, whose list lags behind the state of the backends.

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

/// The registry's list of backends, with its published version.
#[derive(Default)]
pub struct ServiceRegistry {
    entries: BTreeMap<u16, RegistryEntry>,
    /// The last published list.
    view: Arc<RegistryView>,
    /// Number of active faults that keep the published list from changing.
    freezes: u32,
    /// Backends retired while the list was frozen, in order.
    unpublished_retirements: Vec<u16>,
}

impl ServiceRegistry {
    /// Adds a backend in a zone as active, or makes it active again.
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

    /// Marks a backend as draining.
    pub fn drain(&mut self, number: u16) {
        if let Some(entry) = self.entries.get_mut(&number) {
            DRAINING.clone_into(&mut entry.state);
        }
    }

    /// Removes a backend from the list. As with every change, processes see it once the list is published.
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

    /// Keeps the published list from changing until [`Self::unfreeze`] was called as often.
    pub fn freeze(&mut self) {
        self.freezes += 1;
    }

    /// Ends a freeze. Returns the backends whose retirement is published by this call.
    pub fn unfreeze(&mut self) -> Vec<u16> {
        self.freezes = self.freezes.saturating_sub(1);
        self.publish();
        if self.freezes > 0 {
            return Vec::new();
        }
        std::mem::take(&mut self.unpublished_retirements)
    }

    /// Returns whether a retirement is published at once. If not, [`Self::unfreeze`] returns the backend
    /// later.
    pub fn publishes_retirement(&mut self, number: u16) -> bool {
        if self.freezes > 0 {
            self.unpublished_retirements.push(number);
            return false;
        }
        true
    }

    /// Returns the published list for control nodes.
    #[must_use]
    pub fn view(&self) -> Arc<RegistryView> {
        Arc::clone(&self.view)
    }

    /// Returns the published list for agents.
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
