//! Event loop of the simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load_age::backends::Backends;
use crate::load_age::options::{LoadAgeOptions, Sharing};
use crate::load_age::outcome::LoadAgeOutcome;

/// Time to read a long, uncached prompt, in milliseconds.
const LONG_PROMPT_MS: f64 = 150.0;
/// Time to read a short prompt, in milliseconds.
const SHORT_PROMPT_MS: f64 = 20.0;
/// Share of the prompts that are long.
const LONG_SHARE: f64 = 0.375;
/// Microseconds per millisecond; event times are whole microseconds.
const MICROS: f64 = 1000.0;

/// Events of the simulation. Events at the same time are handled in the order of the variants and their fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node reports the work that it has in flight.
    Report { node: usize },
    /// A request arrives at a node.
    Arrival { node: usize, long: bool },
    /// A request is sent to the chosen backend.
    Dispatch {
        node: usize,
        long: bool,
        backend: usize,
        arrived_us: u64,
    },
}

struct Simulation {
    options: LoadAgeOptions,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    backends: Backends,
    /// Work last reported by each node for each backend, in milliseconds.
    reported: Vec<Vec<f64>>,
    /// Sum of `reported` over all nodes, for each backend.
    reported_sum: Vec<f64>,
    outcome: LoadAgeOutcome,
}

/// Simulates a fleet. Equal options yield equal outcomes.
#[must_use]
pub fn simulate(options: &LoadAgeOptions) -> LoadAgeOutcome {
    let mut simulation = Simulation {
        options: *options,
        random: ChaCha8Rng::seed_from_u64(options.seed),
        events: BinaryHeap::new(),
        backends: Backends::new(options.nodes, options.backends),
        reported: vec![vec![0.0; options.backends]; options.nodes],
        reported_sum: vec![0.0; options.backends],
        outcome: LoadAgeOutcome::default(),
    };
    simulation.schedule_arrivals();
    simulation.schedule_first_reports();
    while let Some(Reverse((at, event))) = simulation.events.pop() {
        simulation.handle(at, event);
    }
    simulation.outcome
}

fn work_ms(long: bool) -> f64 {
    if long {
        LONG_PROMPT_MS
    } else {
        SHORT_PROMPT_MS
    }
}

impl Simulation {
    fn schedule_arrivals(&mut self) {
        let mean_work = LONG_SHARE * LONG_PROMPT_MS + (1.0 - LONG_SHARE) * SHORT_PROMPT_MS;
        let gap_ms = mean_work / (self.options.utilization * self.options.backends as f64);
        let end_ms = self.options.length.as_secs_f64() * 1000.0;
        let mut at_ms = 0.0;
        loop {
            // Exponential gaps make the arrivals independent of each other.
            at_ms -= gap_ms * (1.0 - self.random.random::<f64>()).ln();
            if at_ms >= end_ms {
                return;
            }
            let node = self.random.random_range(0..self.options.nodes);
            let long = self.random.random_bool(LONG_SHARE);
            self.schedule(at_ms, Event::Arrival { node, long });
        }
    }

    fn schedule_first_reports(&mut self) {
        let Sharing::Broadcast { period } = self.options.sharing else {
            return;
        };
        for node in 0..self.options.nodes {
            let phase = self.random.random::<f64>() * period.as_secs_f64() * 1000.0;
            self.schedule(phase, Event::Report { node });
        }
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        let at = (at_ms * MICROS) as u64;
        self.events.push(Reverse((at, event)));
    }

    fn handle(&mut self, at: u64, event: Event) {
        let now_ms = at as f64 / MICROS;
        self.backends.advance(now_ms);
        match event {
            Event::Report { node } => self.report(now_ms, node),
            Event::Arrival { node, long } => {
                let backend = self.choose(node);
                let delay_ms = match self.options.sharing {
                    Sharing::Owners { round_trip, .. } => round_trip.as_secs_f64() * 1000.0,
                    _ => 0.0,
                };
                let dispatch = Event::Dispatch {
                    node,
                    long,
                    backend,
                    arrived_us: at,
                };
                self.schedule(now_ms + delay_ms, dispatch);
            }
            Event::Dispatch {
                node,
                long,
                backend,
                arrived_us,
            } => self.dispatch(now_ms, node, long, backend, arrived_us),
        }
    }

    fn report(&mut self, now_ms: f64, node: usize) {
        let own = self.backends.of_node(node);
        for (backend, work) in own.iter().enumerate() {
            self.reported_sum[backend] += work - self.reported[node][backend];
            self.reported[node][backend] = *work;
        }
        let Sharing::Broadcast { period } = self.options.sharing else {
            return;
        };
        let next_ms = now_ms + period.as_secs_f64() * 1000.0;
        if next_ms < self.options.length.as_secs_f64() * 1000.0 {
            self.schedule(next_ms, Event::Report { node });
        }
    }

    fn choose(&mut self, node: usize) -> usize {
        let count = self.options.backends;
        match self.options.sharing {
            Sharing::Nothing => self.random.random_range(0..count),
            Sharing::Omniscient => {
                self.least_loaded(0..count, |this, backend| this.backends.in_flight()[backend])
            }
            Sharing::Owners { drawn, .. } => {
                let drawn = sample(&mut self.random, count, drawn.min(count));
                self.least_loaded(drawn.into_iter(), |this, backend| {
                    this.backends.in_flight()[backend]
                })
            }
            Sharing::Broadcast { .. } => self.least_loaded(0..count, |this, backend| {
                let others = this.reported_sum[backend] - this.reported[node][backend];
                others + this.backends.of_node(node)[backend]
            }),
        }
    }

    /// Returns the backend with the least estimated work; ties are broken at random.
    fn least_loaded(
        &mut self,
        among: impl Iterator<Item = usize>,
        estimated_work: impl Fn(&Self, usize) -> f64,
    ) -> usize {
        let mut best = (f64::INFINITY, 0.0, 0);
        for backend in among {
            let draw = self.random.random::<f64>();
            let work = estimated_work(self, backend).max(0.0);
            if (work, draw) < (best.0, best.1) {
                best = (work, draw, backend);
            }
        }
        best.2
    }

    fn dispatch(&mut self, now_ms: f64, node: usize, long: bool, backend: usize, arrived_us: u64) {
        let in_flight = self.backends.in_flight();
        let least = in_flight.iter().copied().fold(f64::INFINITY, f64::min);
        let regret = in_flight[backend] - least;
        let read_at = self.backends.send(now_ms, node, backend, work_ms(long));
        self.outcome.regret_ms.push(regret);
        let first_token = read_at - arrived_us as f64 / MICROS;
        self.outcome.first_token_ms.push(first_token);
    }
}
