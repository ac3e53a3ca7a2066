//! A simulated pool with its placer, advanced tick by tick.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;

use millford_api::config::Pool;
use millford_api::internal::ReplicaLoad;
use millford_api::state::{Backend, BackendState, Declaration, PoolPlacement, ReplicaState};
use millford_core::{Duration, MonotonicTime};
use millford_placement::{Move, MoveReason, Placer, PlacerOptions, ReplicaKey};

/// Time between two planning ticks.
pub(crate) const TICK: Duration = Duration::from_millis(500);

pub(crate) struct Fixture {
    pub(crate) placer: Placer,
    pub(crate) pool: Pool,
    pub(crate) backends: BTreeMap<String, Backend>,
    pub(crate) placement: Option<PoolPlacement>,
    pub(crate) now: MonotonicTime,
    pub(crate) epoch: u64,
    /// Streams on each replica, reported by one member at each tick.
    pub(crate) streams: BTreeMap<ReplicaKey, u32>,
    pub(crate) history: Vec<(MonotonicTime, Move)>,
}

impl Fixture {
    pub(crate) fn new(pool: Pool, options: PlacerOptions) -> Self {
        Self {
            placer: Placer::new(options),
            pool,
            backends: BTreeMap::new(),
            placement: None,
            now: MonotonicTime::from_millis(1000),
            epoch: 1,
            streams: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    pub(crate) fn add_backend(&mut self, id: &str, declarations: &[(&str, &str)]) {
        let declarations = declarations
            .iter()
            .map(|(model, version)| Declaration {
                model: (*model).to_owned(),
                version: (*version).to_owned(),
                ..Declaration::default()
            })
            .collect();
        let backend = Backend {
            id: id.to_owned(),
            declarations,
            cores: 16,
            bandwidth_gbps: 200.0,
            ..Backend::default()
        };
        self.backends.insert(id.to_owned(), backend);
    }

    pub(crate) fn set_state(&mut self, id: &str, state: BackendState) {
        self.backends.get_mut(id).unwrap().set_state(state);
    }

    /// Advances by one tick, with a report and a plan; returns the moves.
    pub(crate) fn tick(&mut self) -> Vec<Move> {
        self.now = self.now + TICK;
        let known = self.placer.load_snapshot(self.now);
        let ended = known.iter().map(ReplicaKey::from);
        let ended = ended.filter(|key| !self.streams.contains_key(key));
        let present = self.streams.iter().map(|(key, count)| load(key, *count));
        let loads: Vec<ReplicaLoad> = present.chain(ended.map(|key| load(&key, 0))).collect();
        self.placer.observe(self.now, "agent-1", &loads);
        let outcome = self.placer.plan(
            self.now,
            self.epoch,
            &self.pool,
            &self.backends,
            self.placement.as_ref(),
        );
        if let Some(placement) = outcome.placement {
            self.placement = Some(placement);
        }
        let now = self.now;
        self.history
            .extend(outcome.reasons.iter().cloned().map(|step| (now, step)));
        outcome.reasons
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    pub(crate) fn in_state(&self, state: ReplicaState) -> Vec<ReplicaKey> {
        self.placement
            .iter()
            .flat_map(|placement| &placement.replicas)
            .filter(|replica| replica.state() == state)
            .map(ReplicaKey::from)
            .collect()
    }

    pub(crate) fn active(&self) -> Vec<ReplicaKey> {
        self.in_state(ReplicaState::ReplicaActive)
    }

    pub(crate) fn draining(&self) -> Vec<ReplicaKey> {
        self.in_state(ReplicaState::ReplicaDraining)
    }

    pub(crate) fn times_of(&self, reason: MoveReason) -> Vec<MonotonicTime> {
        self.history
            .iter()
            .filter(|(_, step)| step.reason == reason)
            .map(|(at, _)| *at)
            .collect()
    }

    /// Sets the load to `streams` streams on each active replica and none on the others.
    pub(crate) fn load_active(&mut self, streams: u32) {
        self.streams = self
            .active()
            .into_iter()
            .map(|key| (key, streams))
            .collect();
    }
}

pub(crate) fn load(key: &ReplicaKey, decode_streams: u32) -> ReplicaLoad {
    ReplicaLoad {
        backend_id: key.backend.clone(),
        model: key.model.clone(),
        version: key.version.clone(),
        decode_streams,
        ..ReplicaLoad::default()
    }
}

pub(crate) fn pool() -> Pool {
    Pool {
        name: "captions".to_owned(),
        drain_ms: 8000,
        longest_deferral_ms: 60_000,
        ..Pool::default()
    }
}

/// Creates a pool of twelve backends that all declare one model in two versions. The target version
/// is the older one, and it has been placed.
pub(crate) fn two_versions() -> Fixture {
    let mut fixture = Fixture::new(pool(), PlacerOptions::default());
    for number in 0..12 {
        fixture.add_backend(&format!("b{number:02}"), &[("m", "v1"), ("m", "v2")]);
    }
    "v1".clone_into(&mut fixture.pool.target_version);
    fixture.tick();
    fixture
}
