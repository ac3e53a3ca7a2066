//! A pool's backends and replicas as the feed lists them.

use std::collections::BTreeMap;
use std::sync::Arc;

use millford_api::config::Pool;
use millford_api::state::{Backend, BackendState, PoolPlacement, ReplicaState};
use millford_core::Duration;

use crate::model_request::ModelRequest;

/// Time for a draining backend's streams when the pool names none.
pub const DEFAULT_DRAIN: Duration = Duration::from_secs(30);

/// Weight of a replica that placement says nothing about, in thousandths.
pub const FULL_WEIGHT_MILLI: u32 = 1000;

/// One backend that can serve one version of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingReplica {
    /// The backend.
    pub backend: Arc<Backend>,
    /// Model, or empty for a backend that declared nothing.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Stage that the backend declared.
    pub stage: String,
    /// Adapters that the backend declared.
    pub adapters: Vec<String>,
    /// Relative share of new work, in thousandths.
    pub weight_milli: u32,
    /// Whether new work may go to it.
    pub accepts_work: bool,
    /// Whether the placement in force lists it.
    pub placed: bool,
}

/// A pool, its backends and its replicas.
#[derive(Clone, Debug, Default)]
pub struct ServingPool {
    /// Name of the pool.
    pub name: String,
    /// Time for a draining backend's streams to finish or be resumed elsewhere.
    pub drain: Duration,
    /// Version that should serve requests that name none. Empty: the highest one.
    pub target_version: String,
    /// Connections that one backend takes from all nodes together; 0 when no limit is known.
    pub max_connections: u32,
    replicas: Vec<ServingReplica>,
    backends: BTreeMap<String, Arc<Backend>>,
}

impl ServingPool {
    /// Combines what the feed says about one pool.
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

    /// The backend with this id, if the feed still lists it.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<&Arc<Backend>> {
        self.backends.get(id)
    }

    /// All backends of the pool, in the order of their ids.
    pub fn backends(&self) -> impl Iterator<Item = &Arc<Backend>> {
        self.backends.values()
    }

    /// Whether the backend may get new work as far as the feed knows.
    #[must_use]
    pub fn backend_is_active(&self, id: &str) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| backend.state() == BackendState::BackendActive)
    }

    /// Whether any backend, active or not, declares the model.
    #[must_use]
    pub fn knows_model(&self, model: &str) -> bool {
        self.replicas.iter().any(|replica| replica.model == model)
    }

    /// Replicas that may take new work of this kind. Draining and removed backends are never listed.
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
        keep_one_per_backend(&mut found);
        found
    }

    /// Without a requested version and without a placement, the target version serves once any backend has it.
    fn keep_one_version(&self, found: &mut Vec<&ServingReplica>) {
        let has_target = found
            .iter()
            .any(|replica| replica.version == self.target_version);
        let version = if has_target {
            Some(self.target_version.clone())
        } else {
            found.iter().map(|replica| replica.version.clone()).max()
        };
        // A transition goes in small steps: with a placement every placed version serves, or the first
        // replica of the target version would get the whole pool's work.
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

/// Weights of the placement; a model whose placed replicas are all lost is served by declaration.
fn apply_placement(replicas: &mut [ServingReplica], placement: &PoolPlacement) {
    let mut placed_models: BTreeMap<String, bool> = BTreeMap::new();
    for replica in replicas.iter() {
        let live = replica.accepts_work && placed_weight(replica, placement).is_some();
        *placed_models.entry(replica.model.clone()).or_default() |= live;
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

fn keep_one_per_backend(found: &mut Vec<&ServingReplica>) {
    let mut seen: Vec<(String, String)> = Vec::new();
    found.retain(|replica| {
        let key = (replica.backend.id.clone(), replica.version.clone());
        let first = !seen.contains(&key);
        seen.push(key);
        first
    });
}
