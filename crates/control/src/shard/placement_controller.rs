//! Places the replicas of this shard's pools on backends. Only the leader of the shard that owns
//! the service does so.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::command::SetPlacement;
use millford_api::config::Pool;
use millford_api::internal::{LoadReport, LoadSnapshot};
use millford_api::state::{Backend, PoolPlacement, state_value};
use millford_control_state::{ShardMachine, keys};
use millford_core::{MonotonicTime, ShardId};
use millford_placement::{Placer, PlacerOptions};
use prost::Message;

use super::load_snapshot_publisher::LoadSnapshotPublisher;
use super::move_events::MoveEvents;
use crate::node_event::NodeEvent;
use crate::timing::PLACEMENT_PERIOD;

/// The placement plan of one pool.
#[derive(Debug)]
pub(super) struct PoolPlan {
    /// Name of the pool.
    pub(super) pool: String,
    /// Log events for the plan's moves.
    pub(super) events: Vec<NodeEvent>,
    /// The placement to propose; absent if the current one stays.
    pub(super) placement: Option<SetPlacement>,
}

/// Owns the placers of this shard's pools, which exist only on the leader.
pub(super) struct PlacementController {
    shard: ShardId,
    placers: BTreeMap<String, Placer>,
    load_snapshots: LoadSnapshotPublisher,
    move_events: MoveEvents,
    next_plan: MonotonicTime,
}

impl PlacementController {
    /// Creates a controller for a replica that does not lead.
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            placers: BTreeMap::new(),
            load_snapshots: LoadSnapshotPublisher::default(),
            move_events: MoveEvents::default(),
            next_plan: MonotonicTime::default(),
        }
    }

    /// Starts without placers when this replica becomes the leader; they gather their load data
    /// again from the members' reports.
    pub(super) fn lead(&mut self, now: MonotonicTime) {
        self.placers.clear();
        self.move_events = MoveEvents::default();
        self.load_snapshots = LoadSnapshotPublisher::default();
        self.next_plan = now + PLACEMENT_PERIOD;
    }

    /// Drops the placers when this replica stops leading.
    pub(super) fn resign(&mut self) {
        self.placers.clear();
    }

    /// Drops the load reported by a member whose session was closed.
    pub(super) fn forget_member(&mut self, member: &str) {
        for placer in self.placers.values_mut() {
            placer.forget(member);
        }
    }

    /// Records a member's load report for a service of this shard.
    pub(super) fn observe(&mut self, now: MonotonicTime, report: &LoadReport) {
        let placer = placer_of(&mut self.placers, &report.service);
        placer.observe(now, &report.member, &report.loads);
    }

    /// Takes the load snapshots that are due; their epoch is the leader's term.
    pub(super) fn take_load_snapshots(
        &mut self,
        now: MonotonicTime,
        term: u64,
    ) -> Vec<LoadSnapshot> {
        if !self.owns_pools() || !self.load_snapshots.is_due(now) {
            return Vec::new();
        }
        let mut snapshots = Vec::new();
        let mut bytes = 0;
        let mut backends = BTreeSet::new();
        let mut nodes = 0;
        for (service, placer) in &self.placers {
            let loads = placer.load_snapshot(now);
            backends.extend(loads.iter().map(|load| load.backend_id.clone()));
            nodes = nodes.max(placer.members());
            let loads = self.load_snapshots.difference(now, service, loads);
            if loads.is_empty() {
                continue;
            }
            let snapshot = LoadSnapshot {
                service: service.clone(),
                epoch: term,
                loads,
            };
            bytes += snapshot.encoded_len();
            snapshots.push(snapshot);
        }
        self.load_snapshots.set_site_size(backends.len(), nodes);
        self.load_snapshots.record_sent(now, bytes);
        snapshots
    }

    /// Plans the pools when planning is due. Pools with a placement still in flight are left out.
    ///
    /// The epoch of a placement is the leader's term. The term of a former leader is smaller, so
    /// its placement is refused by every replica and ignored by every node.
    pub(super) fn take_plans(
        &mut self,
        now: MonotonicTime,
        term: u64,
        pools: impl FnOnce() -> Vec<Pool>,
        machine: &ShardMachine,
        is_placing: impl Fn(&str) -> bool,
    ) -> Vec<PoolPlan> {
        if !self.owns_pools() || now < self.next_plan {
            return Vec::new();
        }
        self.next_plan = now + PLACEMENT_PERIOD;
        let pools = pools();
        let owned = |name: &String| pools.iter().any(|pool| pool.name == *name);
        self.placers.retain(|name, _| owned(name));
        self.move_events.retain(owned);
        let plannable = pools.iter().filter(|pool| !is_placing(&pool.name));
        plannable
            .map(|pool| self.plan(now, term, pool, machine))
            .collect()
    }

    fn plan(
        &mut self,
        now: MonotonicTime,
        term: u64,
        pool: &Pool,
        machine: &ShardMachine,
    ) -> PoolPlan {
        let backends = backends_of(machine, &pool.name);
        let current = placement_of(machine, &pool.name);
        let placer = placer_of(&mut self.placers, &pool.name);
        let outcome = placer.plan(now, term, pool, &backends, current.as_ref());
        PoolPlan {
            pool: pool.name.clone(),
            events: self.move_events.of_plan(&pool.name, &outcome.reasons),
            placement: outcome.placement.map(|placement| SetPlacement {
                placement: Some(placement),
            }),
        }
    }

    /// Whether this shard owns pools. The configuration shard owns none.
    fn owns_pools(&self) -> bool {
        self.shard != ShardId::CONFIGURATION
    }
}

fn placer_of<'a>(placers: &'a mut BTreeMap<String, Placer>, service: &str) -> &'a mut Placer {
    placers
        .entry(service.to_owned())
        .or_insert_with(|| Placer::new(PlacerOptions::default()))
}

fn backends_of(machine: &ShardMachine, service: &str) -> BTreeMap<String, Backend> {
    let prefix = keys::service_backends(service);
    let items = machine
        .public_state()
        .range(prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&prefix));
    items
        .filter_map(|(_, value)| match &value.kind {
            Some(state_value::Kind::Backend(backend)) => {
                Some((backend.id.clone(), backend.clone()))
            }
            _ => None,
        })
        .collect()
}

fn placement_of(machine: &ShardMachine, pool: &str) -> Option<PoolPlacement> {
    let value = machine.public_state().get(&keys::placement(pool))?;
    match &value.kind {
        Some(state_value::Kind::Placement(placement)) => Some(placement.clone()),
        _ => None,
    }
}
