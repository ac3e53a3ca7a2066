//! The placement role: the leader of the shard that owns a service places its replicas.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::command::{SetPlacement, command};
use millford_api::config::Pool;
use millford_api::internal::{LoadReport, LoadSnapshot};
use millford_api::state::{Backend, PoolPlacement, state_value};
use millford_control_state::keys;
use millford_core::{MonotonicTime, ShardId};
use millford_placement::{Placer, PlacerOptions};
use prost::Message;

use super::core::ShardCore;
use super::move_notes::MoveNotes;
use super::output::ShardOutput;
use super::picture_feed::PictureFeed;
use super::proposals::Purpose;
use super::upkeep::command_of;
use crate::timing::PLACEMENT_PERIOD;

/// Placers of the pools that this shard owns, on its leader only.
#[derive(Debug, Default)]
pub struct PlacementRole {
    placers: BTreeMap<String, Placer>,
    pictures: PictureFeed,
    move_notes: MoveNotes,
    next_plan: MonotonicTime,
}

impl PlacementRole {
    /// The replica leads from now on. What the predecessor learned is learned again from reports.
    pub fn lead(&mut self, now: MonotonicTime) {
        self.placers.clear();
        self.move_notes = MoveNotes::default();
        self.pictures = PictureFeed::default();
        self.next_plan = now + PLACEMENT_PERIOD;
    }

    /// The replica does not lead any more.
    pub fn stop(&mut self) {
        self.placers.clear();
    }

    /// A node's session ended: its work is gone.
    pub fn forget(&mut self, member: &str) {
        for placer in self.placers.values_mut() {
            placer.forget(member);
        }
    }
}

impl ShardCore {
    /// A node's load on a service of this shard.
    pub(super) fn load_report(&mut self, now: MonotonicTime, report: &LoadReport) {
        if !self.standing.leads {
            return;
        }
        let placers = &mut self.placement.placers;
        let placer = placers
            .entry(report.service.clone())
            .or_insert_with(|| Placer::new(PlacerOptions::default()));
        placer.observe(now, &report.member, &report.loads);
    }

    pub(super) fn tick_placement(&mut self, now: MonotonicTime) {
        if self.options.shard == ShardId::CONFIGURATION {
            return;
        }
        if self.placement.pictures.is_due(now) {
            self.send_pictures(now);
        }
        if now >= self.placement.next_plan {
            self.placement.next_plan = now + PLACEMENT_PERIOD;
            self.plan_placements(now);
        }
    }

    fn send_pictures(&mut self, now: MonotonicTime) {
        let epoch = self.standing.term;
        let mut bytes = 0;
        let mut backends = BTreeSet::new();
        let mut nodes = 0;
        for (service, placer) in &self.placement.placers {
            let loads = placer.picture(now);
            backends.extend(loads.iter().map(|load| load.backend_id.clone()));
            nodes = nodes.max(placer.members());
            let loads = self.placement.pictures.difference(now, service, loads);
            if loads.is_empty() {
                continue;
            }
            let picture = LoadSnapshot {
                service: service.clone(),
                epoch,
                loads,
            };
            bytes += picture.encoded_len();
            self.outputs.push(ShardOutput::Picture(picture));
        }
        self.placement.pictures.set_site(backends.len(), nodes);
        self.placement.pictures.sent(now, bytes);
    }

    fn plan_placements(&mut self, now: MonotonicTime) {
        let pools = self.own_pools();
        let owned = |name: &String| pools.iter().any(|pool| pool.name == *name);
        self.placement.placers.retain(|name, _| owned(name));
        self.placement.move_notes.retain(owned);
        for pool in pools {
            let purpose = Purpose::Placement(pool.name.clone());
            if !self.proposals.contains(&purpose) {
                self.plan_pool(now, &pool, purpose);
            }
        }
    }

    /// The epoch is the leader's term: a former leader's is smaller, and its placement is refused
    /// by every replica and ignored by every node.
    fn plan_pool(&mut self, now: MonotonicTime, pool: &Pool, purpose: Purpose) {
        let backends = self.backends_of(&pool.name);
        let current = self.placement_of(&pool.name);
        let epoch = self.standing.term;
        let placers = &mut self.placement.placers;
        let placer = placers
            .entry(pool.name.clone())
            .or_insert_with(|| Placer::new(PlacerOptions::default()));
        let outcome = placer.plan(now, epoch, pool, &backends, current.as_ref());
        let notes = self
            .placement
            .move_notes
            .of_plan(&pool.name, &outcome.reasons);
        let notes = notes.into_iter().map(ShardOutput::Note);
        self.outputs.extend(notes);
        let Some(placement) = outcome.placement else {
            return;
        };
        let set = SetPlacement {
            placement: Some(placement),
        };
        let command = command_of(command::Kind::SetPlacement(set));
        self.propose(&command, purpose);
    }

    fn backends_of(&self, service: &str) -> BTreeMap<String, Backend> {
        let prefix = keys::service_backends(service);
        let state = self.machine.public_state();
        let items = state
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

    fn placement_of(&self, pool: &str) -> Option<PoolPlacement> {
        let value = self.machine.public_state().get(&keys::placement(pool))?;
        match &value.kind {
            Some(state_value::Kind::Placement(placement)) => Some(placement.clone()),
            _ => None,
        }
    }
}
