//! Event loop and state of a simulated fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millford_api::state::{Backend, PoolPlacement};
use millford_core::{Duration, MonotonicTime};
use millford_placement::{Placer, PlacerOptions};
use millford_routing::ServingPool;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::event::Event;
use crate::fleet::event_queue::EventQueue;
use crate::fleet::fleet_options::FleetOptions;
use crate::fleet::host::Host;
use crate::fleet::metrics::FleetMetrics;
use crate::fleet::proxy_node::ProxyNode;
use crate::fleet::request::Request;
use crate::fleet::workload::{SessionTable, draw_prompt, next_arrival};

/// Interval of the proxies' load reports and of the load snapshot returned to them.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the placement role's ticks.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of utilization samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the proxies' probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the end of arrivals that open requests have to complete.
const COMPLETION_TIME: Duration = Duration::from_secs(30);

/// State of a simulated fleet.
pub struct Simulation {
    pub(crate) options: FleetOptions,
    pub(crate) now: MonotonicTime,
    pub(crate) queue: EventQueue,
    pub(crate) hosts: Vec<Host>,
    pub(crate) proxies: Vec<ProxyNode>,
    pub(crate) requests: BTreeMap<u64, Request>,
    /// Id of the request by id of its run on a host.
    pub(crate) runs: BTreeMap<u64, u64>,
    pub(crate) next_request: u64,
    pub(crate) next_run: u64,
    pub(crate) placer: Placer,
    pub(crate) placement: Option<PoolPlacement>,
    pub(crate) serving: ServingPool,
    pub(crate) metrics: FleetMetrics,
    pub(crate) choices: ChaCha8Rng,
    /// Time at which the platform announced the retirement, by index of the host.
    pub(crate) retired_at: BTreeMap<usize, MonotonicTime>,
    /// Time since which the placement has been draining a replica.
    pub(crate) draining_since: BTreeMap<millford_placement::ReplicaKey, MonotonicTime>,
    /// Time at which the target version last changed; `None` if it has not changed.
    pub(crate) ordered_at: Option<MonotonicTime>,
    arrivals: Vec<ArrivalSource>,
}

/// Random arrivals of one model load. They have a random number generator of their own, so that every policy
/// receives the same requests.
struct ArrivalSource {
    random: ChaCha8Rng,
    sessions: SessionTable,
}

/// Simulates a fleet to the end and returns its metrics. Equal options yield equal metrics.
#[must_use]
pub fn simulate(options: FleetOptions) -> FleetMetrics {
    let mut simulation = Simulation::new(options);
    simulation.run();
    simulation.finish()
}

impl Simulation {
    fn new(options: FleetOptions) -> Self {
        let hosts: Vec<Host> = options
            .hosts
            .iter()
            .enumerate()
            .map(|(index, host)| Host::new(index, host))
            .collect();
        let proxies = (0..options.proxies)
            .map(|_| ProxyNode::new(hosts.len()))
            .collect();
        let arrivals = (0..options.workload.loads.len())
            .map(|load| ArrivalSource {
                random: seeded(options.seed, 1 + load as u64),
                sessions: SessionTable::default(),
            })
            .collect();
        let placer_options = match &options.placement {
            Some(placement) => placement.placer.clone(),
            None => PlacerOptions::default(),
        };
        let metrics = FleetMetrics::new(MonotonicTime::ZERO + options.warm_up);
        Self {
            now: MonotonicTime::ZERO,
            queue: EventQueue::default(),
            hosts,
            proxies,
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_request: 0,
            next_run: 0,
            placer: Placer::new(placer_options),
            placement: None,
            serving: ServingPool::default(),
            metrics,
            choices: seeded(options.seed, 0),
            retired_at: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            ordered_at: None,
            arrivals,
            options,
        }
    }

    fn run(&mut self) {
        self.rebuild_serving();
        self.plan();
        for load in 0..self.arrivals.len() {
            self.schedule_arrival(load);
        }
        for fault in self.options.faults.clone() {
            self.queue.add(fault.at, Event::Fault(fault.kind));
        }
        self.schedule(REPORT_INTERVAL, Event::Report);
        self.schedule(PLAN_INTERVAL, Event::Plan);
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        self.schedule(PROBE_INTERVAL, Event::Probe);
        let end = MonotonicTime::ZERO + self.options.length + COMPLETION_TIME;
        while let Some((at, event)) = self.queue.next(end) {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { load } => self.arrive(load),
            Event::HostChange { host, generation } => {
                if self.hosts[host].generation == generation {
                    self.advance_host(host);
                }
            }
            Event::AttemptTimeout { request, attempt } => {
                self.handle_attempt_timeout(request, attempt);
            }
            Event::Deadline { request } => self.handle_deadline(request),
            Event::Report => {
                self.report();
                self.schedule(REPORT_INTERVAL, Event::Report);
            }
            Event::Plan => {
                self.plan();
                self.schedule(PLAN_INTERVAL, Event::Plan);
            }
            Event::Sample => {
                self.sample();
                self.schedule(SAMPLE_INTERVAL, Event::Sample);
            }
            Event::Probe => {
                self.probe();
                self.schedule(PROBE_INTERVAL, Event::Probe);
            }
            Event::Fault(kind) => self.apply_fault(kind),
            Event::Retired { host } => self.stop_retired(host),
        }
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.queue.add(self.now + after, event);
    }

    fn schedule_arrival(&mut self, load: usize) {
        let factor = self.options.workload.factor_at(self.now);
        let rate = self.options.workload.loads[load].rate * factor;
        let after = next_arrival(rate, &mut self.arrivals[load].random);
        if self.now + after < MonotonicTime::ZERO + self.options.length {
            self.schedule(after, Event::Arrival { load });
        }
    }

    fn arrive(&mut self, load: usize) {
        let source = &mut self.arrivals[load];
        let model = &self.options.workload.loads[load];
        let prompt = draw_prompt(model, &mut source.sessions, &mut source.random);
        let name = model.model;
        self.schedule_arrival(load);
        self.metrics.record_arrival(self.now);
        self.accept(name, prompt);
    }

    /// Returns the registry entries of all backends by identity.
    pub(crate) fn catalogue(&self) -> BTreeMap<String, Backend> {
        self.hosts
            .iter()
            .map(|host| (host.id.clone(), host.catalogue.clone()))
            .collect()
    }

    /// Rebuilds the pool that proxies choose from, from the registry entries and the last placement.
    pub(crate) fn rebuild_serving(&mut self) {
        let backends: Vec<Arc<Backend>> = self
            .hosts
            .iter()
            .map(|host| Arc::new(host.catalogue.clone()))
            .collect();
        self.serving = ServingPool::build(&self.options.pool, &backends, self.placement.as_ref());
    }

    fn sample(&mut self) {
        if self.now > MonotonicTime::ZERO + self.options.length {
            return;
        }
        for host in 0..self.hosts.len() {
            self.advance_host(host);
            self.hosts[host].sample(SAMPLE_INTERVAL.as_secs_f64());
        }
        self.record_open_drains();
    }

    fn finish(mut self) -> FleetMetrics {
        let skipped = self.options.warm_up.as_secs() as usize;
        let retired: BTreeSet<usize> = self.retired_at.keys().copied().collect();
        let counted: Vec<&Host> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(index, host)| host.is_up && !retired.contains(index))
            .map(|(_, host)| host)
            .collect();
        let after_warm_up = |samples: &[f64]| samples.len().min(skipped);
        let utilizations: Vec<&[f64]> = counted
            .iter()
            .map(|host| &host.utilizations[after_warm_up(&host.utilizations)..])
            .collect();
        let bandwidths: Vec<&[f64]> = counted
            .iter()
            .map(|host| &host.bandwidths[after_warm_up(&host.bandwidths)..])
            .collect();
        self.metrics.summarize_samples(&utilizations, &bandwidths);
        self.metrics
    }
}

fn seeded(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}
