//! Reconciles the catalogue of this shard's services with the service registry. Only the shard's
//! leader does so.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millford_api::command::UpdateBackends;
use millford_api::config::Pool;
use millford_api::state::{Backend, StateItem, state_value};
use millford_control_state::selection::selects;
use millford_control_state::{ShardMachine, keys};
use millford_core::{ShardId, ShardLayout, service_key};
use millford_registry::{RegistryEntry, RegistryView};

/// Prefix of the keys of pools in the configuration.
const POOL_PREFIX: &str = "config/pool/";

/// The changes that bring the catalogue of one service in line with the registry.
#[derive(Debug)]
pub(super) struct CatalogueUpdate {
    /// Name of the service.
    pub(super) service: String,
    /// The backends to add, change and remove.
    pub(super) update: UpdateBackends,
}

/// Holds what the catalogue is compared with: the configuration's pools and the registry as last
/// read.
pub(super) struct CatalogueReconciler {
    shard: ShardId,
    layout: ShardLayout,
    /// The configuration's pools by name.
    pools: BTreeMap<String, Pool>,
    /// The registry as read since this replica leads; `None` before the first read.
    registry: Option<Arc<RegistryView>>,
    due: bool,
}

impl CatalogueReconciler {
    /// Creates a reconciler without pools and without a view of the registry.
    pub(super) fn new(shard: ShardId, layout: ShardLayout) -> Self {
        Self {
            shard,
            layout,
            pools: BTreeMap::new(),
            registry: None,
            due: false,
        }
    }

    /// Drops the view of the registry when this replica begins to lead. The view dates from the last time that its node
    /// led a shard, and another leader may have committed newer ones since; the catalogue stays as it is until the
    /// next read.
    pub(super) fn lead(&mut self) {
        self.registry = None;
    }

    /// Stores a new view of the registry and schedules a comparison.
    pub(super) fn set_registry(&mut self, view: Arc<RegistryView>) {
        self.registry = Some(view);
        self.due = true;
    }

    /// Schedules a comparison for the next tick.
    pub(super) fn check_soon(&mut self) {
        self.due = true;
    }

    /// Applies changes of the configuration's pools.
    pub(super) fn apply_configuration(&mut self, items: &[StateItem]) {
        for item in items {
            let Some(name) = item.key.strip_prefix(POOL_PREFIX) else {
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

    /// The configuration's pools whose service belongs to this shard.
    pub(super) fn own_pools(&self) -> Vec<Pool> {
        let pools = self.pools.values();
        pools
            .filter(|pool| self.layout.shard_of(&service_key(&pool.name)) == self.shard)
            .cloned()
            .collect()
    }

    /// Compares if a comparison is due, and returns the updates to propose. A service with an
    /// update still in flight is compared again at the next tick.
    pub(super) fn take_updates(
        &mut self,
        machine: &ShardMachine,
        is_updating: impl Fn(&str) -> bool,
    ) -> Vec<CatalogueUpdate> {
        // The configuration shard owns no services.
        if self.shard == ShardId::CONFIGURATION {
            return Vec::new();
        }
        let Some(registry) = self.take_due() else {
            return Vec::new();
        };
        let mut updates = Vec::new();
        for service in self.own_services(machine) {
            if is_updating(&service) {
                self.check_soon();
                continue;
            }
            let desired = self.desired_backends(&service, &registry);
            if let Some(update) = machine.catalogue_difference(&service, &desired) {
                updates.push(CatalogueUpdate { service, update });
            }
        }
        updates
    }

    fn take_due(&mut self) -> Option<Arc<RegistryView>> {
        let due = std::mem::take(&mut self.due);
        self.registry.clone().filter(|_| due)
    }

    /// The services to compare: those of the configuration's pools, and those that still have
    /// backends in the catalogue although their pool was removed.
    fn own_services(&self, machine: &ShardMachine) -> BTreeSet<String> {
        let pools = self.own_pools().into_iter().map(|pool| pool.name);
        let keys = machine.public_state().keys();
        let orphaned = keys.filter_map(|key| service_of(key));
        pools.chain(orphaned).collect()
    }

    fn desired_backends(&self, service: &str, registry: &RegistryView) -> Vec<Backend> {
        let Some(pool) = self.pools.get(service) else {
            return Vec::new();
        };
        let entries = registry.backends.iter().map(RegistryEntry::to_backend);
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
