//! Chooses the backend for one attempt.

use millford_routing::{Affinity, Candidate, ReplicaKey, ServingReplica, choose};

use crate::request::environment::RequestEnvironment;
use crate::request::plan::RequestPlan;

/// The replica that an attempt is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenReplica {
    /// Key under which the attempt is counted in the load table.
    pub key: ReplicaKey,
    /// IP address and port of the backend.
    pub address: String,
    /// Estimated prompt tokens that are not in the backend's prefix cache.
    pub uncached_tokens: u64,
    /// Whether the backend was chosen by the request's affinity key.
    pub by_affinity: bool,
}

/// Chooses among the backends that accept new work now, except those in `excluded`.
///
/// If `version` is given, only replicas of that model version qualify: a run is never continued by
/// another version.
pub fn choose_backend<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
    excluded: &[String],
    version: Option<&str>,
) -> Option<ChosenReplica> {
    let state = environment.state();
    // The table is read again for each attempt, so that a backend that began to drain while the
    // request waited gets no new work.
    let table = state.table();
    let pool = table.pool(&plan.route.pool)?;
    let usable = |replica: &&ServingReplica| {
        let id = &replica.backend.id;
        !excluded.contains(id)
            && state.health.is_usable(id)
            && version.is_none_or(|version| replica.version == version)
    };
    let candidates = pool.candidates(&plan.requirement);
    let replicas: Vec<&ServingReplica> = candidates.into_iter().filter(usable).collect();
    let weighted: Vec<Candidate> = replicas
        .iter()
        .map(|replica| candidate(environment, replica))
        .collect();
    let model = &plan.requirement.model;
    let random = [environment.random(), environment.random()];
    let affinity = plan.affinity.map(|key| Affinity {
        key,
        saving: state.costs.home_saving_ms(model, plan.prompt_tokens)
            / mean_cores_per_backend(&replicas),
        gain: state.costs.home_gain(model),
    });
    let choice = choose(&weighted, affinity, random)?;
    let replica = replicas[choice.index];
    let uncached_tokens = if choice.by_affinity {
        state
            .costs
            .uncached_tokens_at_home(model, plan.prompt_tokens)
    } else {
        state
            .costs
            .uncached_tokens_elsewhere(model, plan.prompt_tokens)
    };
    Some(ChosenReplica {
        key: replica_key(&pool.name, replica),
        address: replica.backend.address.clone(),
        uncached_tokens,
        by_affinity: choice.by_affinity,
    })
}

/// Returns the key under which a replica's work is counted in the load table.
#[must_use]
pub fn replica_key(pool: &str, replica: &ServingReplica) -> ReplicaKey {
    ReplicaKey {
        pool: pool.to_owned(),
        backend_id: replica.backend.id.clone(),
        model: replica.model.clone(),
        version: replica.version.clone(),
    }
}

fn candidate<E: RequestEnvironment>(environment: &E, replica: &ServingReplica) -> Candidate {
    let state = environment.state();
    let backend = &replica.backend;
    let load = state
        .load_table
        .backend_load(&backend.id, backend.cores, &state.costs);
    Candidate {
        backend_id: backend.id.clone(),
        weight_milli: replica.weight_milli,
        load,
    }
}

/// Returns the mean number of cores of the replicas' backends. Loads are counted per core, so the
/// time that a request saves by affinity is divided by the cores too.
fn mean_cores_per_backend(replicas: &[&ServingReplica]) -> f64 {
    let cores = replicas.iter().map(|replica| replica.backend.cores.max(1));
    f64::from(cores.sum::<u32>()) / replicas.len().max(1) as f64
}
