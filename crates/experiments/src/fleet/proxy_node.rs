//! One simulated proxy: what it knows and how it chooses.

use std::sync::Arc;

use millford_routing::{
    Affinity, BackendHealth, Candidate, CostEstimates, LoadTable, ModelRequest, ReplicaKey,
    RetryBudget, ServingPool, ServingReplica, choose, rendezvous,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::host::Host;
use crate::fleet::policy::Policy;

/// Age of the load that backends report, in samples of a second.
const REPORT_AGE_SAMPLES: usize = 2;

/// State of one proxy.
#[derive(Debug)]
pub struct ProxyNode {
    /// Work in flight by replica: the real load table of the routing crate.
    pub load_table: Arc<LoadTable>,
    /// Learned costs: the real estimates of the routing crate.
    pub costs: CostEstimates,
    /// Ejections: the real health of the routing crate.
    pub health: BackendHealth,
    /// Budget for second sends.
    pub budget: RetryBudget,
    /// Own open requests by host, all models alike.
    pub own_open: Vec<u32>,
    /// Other proxies' open requests by host, as last reported.
    pub others_open: Vec<u32>,
    next_round_robin: usize,
}

/// The request that a backend is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Affinity key.
    pub affinity: u64,
    /// Hosts that failed the request already.
    pub excluded: &'a [usize],
}

/// A chosen replica.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Position of the host.
    pub host: usize,
    /// Which counts the attempt belongs to.
    pub key: ReplicaKey,
    /// Whether the host is a home of the affinity key.
    pub by_affinity: bool,
    /// Uncached prompt tokens to expect.
    pub uncached_tokens: u64,
}

impl ProxyNode {
    /// A proxy before `hosts` hosts.
    #[must_use]
    pub fn new(hosts: usize) -> Self {
        Self {
            load_table: Arc::default(),
            costs: CostEstimates::default(),
            health: BackendHealth::default(),
            budget: RetryBudget::default(),
            own_open: vec![0; hosts],
            others_open: vec![0; hosts],
            next_round_robin: 0,
        }
    }

    /// Chooses a replica by a policy.
    pub fn choose(
        &mut self,
        policy: Policy,
        pool: &ServingPool,
        hosts: &[Host],
        input: ChoiceInput<'_>,
        random: &mut ChaCha8Rng,
    ) -> Option<Chosen> {
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
        Some(Chosen {
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
        let unaided = match policy {
            Policy::RoundRobin => {
                self.next_round_robin += 1;
                self.next_round_robin % count
            }
            Policy::Random => random.random_range(0..count),
            Policy::HostTotal => best_of_two(count, random, |index| self.open(host_of(index))),
            Policy::HostTotalLeast => {
                let start = random.random_range(0..count);
                let rotated = (0..count).map(|step| (start + step) % count);
                rotated.min_by(|left, right| {
                    let left = self.open(host_of(*left));
                    left.total_cmp(&self.open(host_of(*right)))
                })?
            }
            Policy::Oracle => {
                let work = |index: &usize| hosts[host_of(*index)].backend.outstanding_seconds();
                (0..count).min_by(|left, right| work(left).total_cmp(&work(right)))?
            }
            Policy::StaleReported => {
                best_of_two(count, random, |index| reported(&hosts[host_of(index)]))
            }
            Policy::PureHash => {
                let score = |index: &usize| {
                    rendezvous::score(input.affinity, &replicas[*index].backend.id, 1000)
                };
                (0..count).max_by(|left, right| score(left).total_cmp(&score(right)))?
            }
            Policy::MillfordWithoutAffinity => return self.ours(replicas, input, None, random),
            Policy::Millford => {
                return self.ours(replicas, input, Some(input.affinity), random);
            }
        };
        Some((unaided, policy == Policy::PureHash))
    }

    /// As the proxy's `choose_backend` does it, on the routing crate's decisions.
    fn ours(
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

    fn open(&self, host: usize) -> f64 {
        f64::from(self.own_open[host] + self.others_open[host])
    }
}

/// Draws two different positions and keeps the one with the lower load.
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

/// The utilization that the host reported some seconds ago.
fn reported(host: &Host) -> f64 {
    let samples = host.utilizations.len();
    match samples.checked_sub(1 + REPORT_AGE_SAMPLES) {
        Some(index) => host.utilizations[index],
        None => 0.0,
    }
}

/// Position of the host with this id.
#[must_use]
pub fn host_index(id: &str) -> usize {
    id.trim_start_matches('b').parse().unwrap_or(0)
}
