//! A simulated proxy: its state and its choice of backends.

use std::sync::Arc;

use millford_routing::{
    Affinity, BackendHealth, Candidate, CostEstimates, LoadTable, ModelRequest, ReplicaKey,
    RetryBudget, ServingPool, ServingReplica, choose, rendezvous,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::host::Host;
use crate::fleet::policy::Policy;

/// Age of the load that backends report, in samples at intervals of one second.
const REPORT_AGE_SAMPLES: usize = 2;

/// State of one proxy.
#[derive(Debug)]
pub struct ProxyNode {
    /// Work in flight by replica, kept in the routing crate's real load table.
    pub load_table: Arc<LoadTable>,
    /// Costs learned with the routing crate's real estimates.
    pub costs: CostEstimates,
    /// Ejections and probes, kept by the routing crate's real implementation.
    pub health: BackendHealth,
    /// Budget for retries.
    pub budget: RetryBudget,
    /// This proxy's open attempts by host, over all models.
    pub own_open_attempts: Vec<u32>,
    /// Other proxies' open attempts by host, over all models, as last reported.
    pub others_open_attempts: Vec<u32>,
    next_round_robin: usize,
}

/// Properties of a request that determine the choice of a backend.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Affinity key of the prompt.
    pub affinity: u64,
    /// Indexes of the hosts on which an attempt of the request failed.
    pub excluded: &'a [usize],
}

/// The replica chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenReplica {
    /// Index of the host.
    pub host: usize,
    /// Key of the replica in the load table.
    pub key: ReplicaKey,
    /// Whether the host was chosen as a home of the affinity key.
    pub by_affinity: bool,
    /// Estimated number of uncached prompt tokens.
    pub uncached_tokens: u64,
}

impl ProxyNode {
    /// Creates a proxy for a fleet with this number of hosts.
    #[must_use]
    pub fn new(hosts: usize) -> Self {
        Self {
            load_table: Arc::default(),
            costs: CostEstimates::default(),
            health: BackendHealth::default(),
            budget: RetryBudget::default(),
            own_open_attempts: vec![0; hosts],
            others_open_attempts: vec![0; hosts],
            next_round_robin: 0,
        }
    }

    /// Chooses a replica by a policy; `None` when no replica of the model is usable.
    pub fn choose(
        &mut self,
        policy: Policy,
        pool: &ServingPool,
        hosts: &[Host],
        input: ChoiceInput<'_>,
        random: &mut ChaCha8Rng,
    ) -> Option<ChosenReplica> {
        let request = ModelRequest {
            model: input.model.to_owned(),
            ..ModelRequest::default()
        };
        let usable = |replica: &&ServingReplica| {
            let host = host_index(&replica.backend.id);
            !input.excluded.contains(&host) && self.health.is_usable(&replica.backend.id)
        };
        let replicas: Vec<&ServingReplica> = pool
            .candidates(&request)
            .into_iter()
            .filter(usable)
            .collect();
        if replicas.is_empty() {
            return None;
        }
        let (index, by_affinity) = self.pick(policy, &replicas, hosts, input, random)?;
        let replica = replicas[index];
        let uncached_tokens = if by_affinity {
            self.costs
                .uncached_tokens_at_home(input.model, input.prompt_tokens)
        } else {
            self.costs
                .uncached_tokens_elsewhere(input.model, input.prompt_tokens)
        };
        Some(ChosenReplica {
            host: host_index(&replica.backend.id),
            key: ReplicaKey {
                pool: pool.name.clone(),
                backend_id: replica.backend.id.clone(),
                model: replica.model.clone(),
                version: replica.version.clone(),
            },
            by_affinity,
            uncached_tokens,
        })
    }

    fn pick(
        &mut self,
        policy: Policy,
        replicas: &[&ServingReplica],
        hosts: &[Host],
        input: ChoiceInput<'_>,
        random: &mut ChaCha8Rng,
    ) -> Option<(usize, bool)> {
        let count = replicas.len();
        let host_of = |index: usize| host_index(&replicas[index].backend.id);
        let chosen_index = match policy {
            Policy::RoundRobin => {
                self.next_round_robin += 1;
                self.next_round_robin % count
            }
            Policy::Random => random.random_range(0..count),
            Policy::HostTotal => {
                best_of_two(count, random, |index| self.open_attempts(host_of(index)))
            }
            Policy::HostTotalLeast => {
                let start = random.random_range(0..count);
                let rotated = (0..count).map(|step| (start + step) % count);
                rotated.min_by(|left, right| {
                    let left = self.open_attempts(host_of(*left));
                    left.total_cmp(&self.open_attempts(host_of(*right)))
                })?
            }
            Policy::Oracle => {
                let work = |index: &usize| hosts[host_of(*index)].backend.outstanding_seconds();
                (0..count).min_by(|left, right| work(left).total_cmp(&work(right)))?
            }
            Policy::StaleReported => best_of_two(count, random, |index| {
                reported_utilization(&hosts[host_of(index)])
            }),
            Policy::PureHash => {
                let score = |index: &usize| {
                    rendezvous::score(input.affinity, &replicas[*index].backend.id, 1000)
                };
                (0..count).max_by(|left, right| score(left).total_cmp(&score(right)))?
            }
            Policy::MillfordWithoutAffinity => {
                return self.choose_by_project_routing(replicas, input, None, random);
            }
            Policy::Millford => {
                return self.choose_by_project_routing(
                    replicas,
                    input,
                    Some(input.affinity),
                    random,
                );
            }
        };
        Some((chosen_index, policy == Policy::PureHash))
    }

    /// Chooses by the routing crate as the real proxy's `choose_backend` does; `None` as `affinity` disables affinity.
    fn choose_by_project_routing(
        &self,
        replicas: &[&ServingReplica],
        input: ChoiceInput<'_>,
        affinity: Option<u64>,
        random: &mut ChaCha8Rng,
    ) -> Option<(usize, bool)> {
        let candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| {
                let backend = &replica.backend;
                Candidate {
                    backend_id: backend.id.clone(),
                    weight_milli: replica.weight_milli,
                    load: self
                        .load_table
                        .backend_load(&backend.id, backend.cores, &self.costs),
                }
            })
            .collect();
        let cores: u32 = replicas.iter().map(|replica| replica.backend.cores).sum();
        let mean_cores = f64::from(cores) / replicas.len() as f64;
        let saving = self.costs.home_saving_ms(input.model, input.prompt_tokens) / mean_cores;
        let numbers = [random.random(), random.random()];
        let affinity = affinity.map(|key| Affinity {
            key,
            saving,
            gain: self.costs.home_gain(input.model),
        });
        let choice = choose(&candidates, affinity, numbers)?;
        Some((choice.index, choice.by_affinity))
    }

    fn open_attempts(&self, host: usize) -> f64 {
        f64::from(self.own_open_attempts[host] + self.others_open_attempts[host])
    }
}

/// Draws two different indexes and returns the one with the lower load.
fn best_of_two(count: usize, random: &mut ChaCha8Rng, load: impl Fn(usize) -> f64) -> usize {
    let first = random.random_range(0..count);
    if count == 1 {
        return first;
    }
    let second = (first + random.random_range(1..count)) % count;
    if load(first) <= load(second) {
        first
    } else {
        second
    }
}

/// Returns the utilization that the host reported [`REPORT_AGE_SAMPLES`] ago; 0 before there is such a sample.
fn reported_utilization(host: &Host) -> f64 {
    let samples = host.utilizations.len();
    match samples.checked_sub(1 + REPORT_AGE_SAMPLES) {
        Some(index) => host.utilizations[index],
        None => 0.0,
    }
}

/// Returns the index of the host with this identity.
#[must_use]
pub fn host_index(id: &str) -> usize {
    id.trim_start_matches('b').parse().unwrap_or(0)
}
