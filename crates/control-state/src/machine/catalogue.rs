//! Catalogue of the backends of the shard's services, with the operators' drain orders.

use std::collections::BTreeMap;

use millford_api::command::{DrainBackend, DrainOrder, UpdateBackends};
use millford_api::state::{Backend, BackendState, StateItem, state_value::Kind};
use millford_core::ResultCode;

use super::applied::Applied;
use super::public_state::PublicState;
use crate::keys;

/// Drain orders in effect, by the backend's key. The backends themselves are items of the public
/// state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Catalogue {
    drain_orders: BTreeMap<String, DrainOrder>,
}

impl Catalogue {
    /// Applies an update from the service registry.
    pub(crate) fn update(&mut self, state: &mut PublicState, update: &UpdateBackends) -> Applied {
        let mut changes = Vec::new();
        for backend in &update.upserts {
            changes.extend(self.upsert(state, &update.service, backend));
        }
        for backend_id in &update.removals {
            let key = keys::backend(&update.service, backend_id);
            // A replacement backend has a new id, so a drain order ends when its backend is
            // removed.
            self.drain_orders.remove(&key);
            changes.extend(state.delete(&key));
        }
        Applied::changed(changes)
    }

    /// Sets or lifts a backend's drain order. Lifting restores the state that the registry
    /// declares.
    pub(crate) fn drain(&mut self, state: &mut PublicState, order: &DrainBackend) -> Applied {
        let key = keys::backend(&order.service, &order.backend_id);
        let Some(Kind::Backend(current)) = state.get(&key) else {
            return Applied::code(ResultCode::BackendUnknown);
        };
        let mut backend = current.clone();
        if order.drain {
            let drain = self
                .drain_orders
                .entry(key.clone())
                .or_insert_with(|| DrainOrder {
                    service: order.service.clone(),
                    backend_id: order.backend_id.clone(),
                    declared_state: backend.state,
                });
            backend.state = drained_state(drain.declared_state);
        } else if let Some(lifted) = self.drain_orders.remove(&key) {
            backend.state = lifted.declared_state;
        }
        let change = state.set(key, Kind::Backend(backend));
        Applied::changed(change.into_iter().collect())
    }

    /// Returns the backends of a service as the registry last declared them, without drain orders.
    pub(crate) fn declared(&self, state: &PublicState, service: &str) -> BTreeMap<String, Backend> {
        let mut backends = BTreeMap::new();
        for key in state.keys_under(&keys::service_backends(service)) {
            let Some(Kind::Backend(backend)) = state.get(&key) else {
                continue;
            };
            let mut backend = backend.clone();
            if let Some(drain) = self.drain_orders.get(&key) {
                backend.state = drain.declared_state;
            }
            backends.insert(backend.id.clone(), backend);
        }
        backends
    }

    /// Returns the drain orders, sorted by the backends' keys.
    pub(crate) fn drain_orders(&self) -> impl Iterator<Item = &DrainOrder> {
        self.drain_orders.values()
    }

    /// Replaces the drain orders with those of a snapshot.
    pub(crate) fn replace(&mut self, drain_orders: Vec<DrainOrder>) {
        self.drain_orders = drain_orders
            .into_iter()
            .map(|drain| (keys::backend(&drain.service, &drain.backend_id), drain))
            .collect();
    }

    fn upsert(
        &mut self,
        state: &mut PublicState,
        service: &str,
        backend: &Backend,
    ) -> Option<StateItem> {
        let key = keys::backend(service, &backend.id);
        let mut backend = backend.clone();
        if let Some(drain) = self.drain_orders.get_mut(&key) {
            drain.declared_state = backend.state;
            backend.state = drained_state(drain.declared_state);
        }
        state.set(key, Kind::Backend(backend))
    }
}

/// Returns the state of a backend under a drain order. A backend that the registry reports as gone
/// stays gone.
fn drained_state(declared: i32) -> i32 {
    if declared == i32::from(BackendState::BackendGone) {
        return declared;
    }
    BackendState::BackendDraining.into()
}
