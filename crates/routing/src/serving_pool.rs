//! A pool with its backends and replicas, from the feed.

use std::collections::BTreeMap;
use std::sync::Arc;

use millford_api::config::Pool;
use millford_api::state::{Backend, BackendState, PoolPlacement, ReplicaState};
use millford_core::Duration;

use crate::model_request::ModelRequest;

/// Drain time of a pool that sets none.
pub const DEFAULT_DRAIN: Duration = Duration::from_secs(30);

/// Weight of a replica that no placement lists, in thousandths.
pub const FULL_WEIGHT_MILLI: u32 = 1000;

/// One backend that can serve one version of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingReplica {
    /// Backend that holds the replica.
    pub backend: Arc<Backend>,
    /// Name of the model; empty for a backend that declares none.
    pub model: String,
    /// Version of the model; empty for a backend that declares none.
    pub version: String,
    /// Stage that the backend declares, for instance `production` or `canary`.
    pub stage: String,
    /// Adapters that the backend declares.
    pub adapters: Vec<String>,
    /// Relative share of new work, in thousandths.
    pub weight_milli: u32,
    /// Whether new work may be sent to the replica.
    pub accepts_work: bool,
    /// Whether the current placement lists the replica.
    pub placed: bool,
}

/// A pool, its backends and its replicas.
#[derive(Clone, Debug, Default)]
pub struct ServingPool {
    /// Name of the pool.
    pub name: String,
    /// Time for the streams of a draining backend to finish or to be resumed on another one.
    pub drain: Duration,
    /// Version that serves requests without a version; if empty, the highest version does.
    pub target_version: String,
    /// Largest number of connections that one backend accepts from all nodes together; 0 if no limit is
    /// set.
    pub max_connections: u32,
    replicas: Vec<ServingReplica>,
    backends: BTreeMap<String, Arc<Backend>>,
}

impl ServingPool {
    /// Builds a pool from its configuration, its backends and its placement, if there is one.
    #[must_use]
    pub fn build(
        pool: &Pool,
        backends: &[Arc<Backend>],
        placement: Option<&PoolPlacement>,
    ) -> Self {
        let drain = match pool.drain_ms {
            0 => DEFAULT_DRAIN,
            millis => Duration::from_millis(u64::from(millis)),
        };
        let mut replicas = Vec::new();
        for backend in backends {
            replicas.extend(replicas_of(backend));
        }
        if let Some(placement) = placement {
            apply_placement(&mut replicas, placement);
        }
        let by_id = backends
            .iter()
            .map(|backend| (backend.id.clone(), Arc::clone(backend)));
        Self {
            name: pool.name.clone(),
            drain,
            target_version: pool.target_version.clone(),
            max_connections: pool.max_connections,
            replicas,
            backends: by_id.collect(),
        }
    }

    /// Returns the backend with this id, if the feed still lists it.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<&Arc<Backend>> {
        self.backends.get(id)
    }

    /// Returns all backends of the pool, in the order of their ids.
    pub fn backends(&self) -> impl Iterator<Item = &Arc<Backend>> {
        self.backends.values()
    }

    /// Returns whether the feed lists the backend as active, so that it may get new work.
    #[must_use]
    pub fn backend_is_active(&self, id: &str) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| backend.state() == BackendState::BackendActive)
    }

    /// Returns whether any backend, active or not, declares the model.
    #[must_use]
    pub fn declares_model(&self, model: &str) -> bool {
        self.replicas.iter().any(|replica| replica.model == model)
    }

    /// Returns the replicas that may serve the request. Draining and removed backends are never included.
    #[must_use]
    pub fn candidates(&self, requested: &ModelRequest) -> Vec<&ServingReplica> {
        let serving =
            |replica: &&ServingReplica| replica.accepts_work && serves(replica, requested);
        let mut found: Vec<&ServingReplica> = self.replicas.iter().filter(serving).collect();
        if found.iter().any(|replica| replica.weight_milli > 0) {
            found.retain(|replica| replica.weight_milli > 0);
        }
        if requested.version.is_empty() {
            self.keep_one_version(&mut found);
        }
        keep_one_per_backend_and_version(&mut found);
        found
    }

    /// Reduces the replicas to one version if none is requested and none of them is placed: the target
    /// version if any backend has it, otherwise the highest.
    fn keep_one_version(&self, found: &mut Vec<&ServingReplica>) {
        let has_target = found
            .iter()
            .any(|replica| replica.version == self.target_version);
        let version = if has_target {
            Some(self.target_version.clone())
        } else {
            found.iter().map(|replica| replica.version.clone()).max()
        };
        // A version transition proceeds in small steps. With a placement every placed version serves;
        // otherwise the first replica of the target version would get all the work of the pool.
        let placed = found.iter().any(|replica| replica.placed);
        if let (Some(version), false) = (version, placed) {
            found.retain(|replica| replica.version == version);
        }
    }
}

fn replicas_of(backend: &Arc<Backend>) -> Vec<ServingReplica> {
    let accepts_work = backend.state() == BackendState::BackendActive;
    let empty = ServingReplica {
        backend: Arc::clone(backend),
        model: String::new(),
        version: String::new(),
        stage: String::new(),
        adapters: Vec::new(),
        weight_milli: FULL_WEIGHT_MILLI,
        accepts_work,
        placed: false,
    };
    if backend.declarations.is_empty() {
        return vec![empty];
    }
    let declared = backend.declarations.iter();
    let replica = declared.map(|declaration| ServingReplica {
        model: declaration.model.clone(),
        version: declaration.version.clone(),
        stage: declaration.stage.clone(),
        adapters: declaration.adapters.clone(),
        ..empty.clone()
    });
    replica.collect()
}

/// Applies the placement's weights and excludes the replicas that it does not list as active. A model whose placed
/// replicas are all lost is served by every backend that declares it.
fn apply_placement(replicas: &mut [ServingReplica], placement: &PoolPlacement) {
    let mut placed_models: BTreeMap<String, bool> = BTreeMap::new();
    for replica in replicas.iter() {
        let accepting = replica.accepts_work && placed_weight(replica, placement).is_some();
        *placed_models.entry(replica.model.clone()).or_default() |= accepting;
    }
    for replica in replicas.iter_mut() {
        if !placed_models.get(&replica.model).copied().unwrap_or(false) {
            continue;
        }
        match placed_weight(replica, placement) {
            Some(weight) => {
                replica.weight_milli = weight;
                replica.placed = true;
            }
            None => replica.accepts_work = false,
        }
    }
}

fn placed_weight(replica: &ServingReplica, placement: &PoolPlacement) -> Option<u32> {
    let placed = placement.replicas.iter().find(|placed| {
        placed.backend_id == replica.backend.id
            && placed.model == replica.model
            && placed.version == replica.version
            && placed.state() == ReplicaState::ReplicaActive
    });
    placed.map(|placed| placed.weight_milli)
}

fn serves(replica: &ServingReplica, requested: &ModelRequest) -> bool {
    let same = |requested: &str, declared: &str| requested.is_empty() || requested == declared;
    let adapter = &requested.adapter;
    same(&requested.model, &replica.model)
        && same(&requested.version, &replica.version)
        && same(&requested.stage, &replica.stage)
        && (adapter.is_empty() || replica.adapters.contains(adapter))
}

fn keep_one_per_backend_and_version(found: &mut Vec<&ServingReplica>) {
    let mut seen: Vec<(String, String)> = Vec::new();
    found.retain(|replica| {
        let key = (replica.backend.id.clone(), replica.version.clone());
        let first = !seen.contains(&key);
        seen.push(key);
        first
    });
}
