//! Reconciles the catalogue of this shard's services with the service registry.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millford_api::command::command;
use millford_api::config::Pool;
use millford_api::state::{Backend, StateItem, state_value};
use millford_control_state::keys;
use millford_control_state::selection::selects;
use millford_core::{MonotonicTime, ShardId, service_key};
use millford_registry::RegistryView;

use super::core::ShardCore;
use super::maintenance::command_of;
use super::proposals::Purpose;

/// What the leader compares the catalogue with.
#[derive(Debug, Default)]
pub struct CatalogueReconciler {
    /// The configuration's pools by name.
    pub(super) pools: BTreeMap<String, Pool>,
    registry: Option<Arc<RegistryView>>,
    due: bool,
}

impl CatalogueReconciler {
    /// The registry was read.
    pub fn registry(&mut self, view: Arc<RegistryView>) {
        self.registry = Some(view);
        self.due = true;
    }

    /// The state changed: compare at the next tick.
    pub fn check_soon(&mut self) {
        self.due = true;
    }

    /// Items of the configuration changed.
    pub fn configuration(&mut self, items: &[StateItem]) {
        for item in items {
            let Some(name) = item.key.strip_prefix("config/pool/") else {
                continue;
            };
            let kind = item.value.as_ref().and_then(|value| value.kind.as_ref());
            match kind {
                Some(state_value::Kind::Pool(pool)) => {
                    self.pools.insert(name.to_owned(), pool.clone());
                }
                _ => {
                    self.pools.remove(name);
                }
            }
            self.due = true;
        }
    }

    fn take_due(&mut self) -> Option<Arc<RegistryView>> {
        let due = std::mem::take(&mut self.due);
        self.registry.clone().filter(|_| due)
    }
}

impl ShardCore {
    /// The configuration changed: pools and quotas follow.
    pub(super) fn configuration(&mut self, now: MonotonicTime, items: &[StateItem]) {
        self.catalogue.configuration(items);
        self.quota.configuration(now, items);
    }

    /// Proposes what the catalogue of this shard's services lacks or has too much.
    pub(super) fn update_catalogue(&mut self) {
        if self.options.shard == ShardId::CONFIGURATION {
            return;
        }
        let Some(registry) = self.catalogue.take_due() else {
            return;
        };
        for service in self.own_services() {
            let purpose = Purpose::Catalogue(service.clone());
            if self.proposals.contains(&purpose) {
                self.catalogue.check_soon();
                continue;
            }
            let desired = self.desired_backends(&service, &registry);
            if let Some(update) = self.machine.catalogue_difference(&service, &desired) {
                let command = command_of(command::Kind::UpdateBackends(update));
                self.propose(&command, purpose);
            }
        }
    }

    /// Pools of the configuration that this shard owns.
    pub(super) fn own_pools(&self) -> Vec<Pool> {
        let layout = self.options.layout;
        let pools = self.catalogue.pools.values();
        pools
            .filter(|pool| layout.shard_of(&service_key(&pool.name)) == self.options.shard)
            .cloned()
            .collect()
    }

    /// The services to compare: pools of the configuration, and those of which only backends are
    /// left.
    fn own_services(&self) -> BTreeSet<String> {
        let pools = self.own_pools().into_iter().map(|pool| pool.name);
        let state = self.machine.public_state();
        let left = state.keys().filter_map(|key| service_of(key));
        pools.chain(left).collect()
    }

    fn desired_backends(&self, service: &str, registry: &RegistryView) -> Vec<Backend> {
        let Some(pool) = self.catalogue.pools.get(service) else {
            return Vec::new();
        };
        let entries = registry.backends.iter().map(|entry| entry.to_backend());
        entries
            .filter(|backend| selects(pool.selector.as_ref(), backend))
            .collect()
    }
}

fn service_of(key: &str) -> Option<String> {
    let rest = key.strip_prefix(keys::BACKEND_PREFIX)?;
    let (service, _) = rest.split_once('/')?;
    Some(service.to_owned())
}
