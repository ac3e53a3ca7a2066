//! Control plane of a simulated fleet: load reports, placement, probes, faults and retirements.

use std::collections::BTreeSet;

use millford_api::internal::LoadSnapshot;
use millford_api::state::{BackendState, PoolPlacement, ReplicaState};
use millford_backend_model::RunRequest;
use millford_core::{Duration, MonotonicTime};
use millford_placement::{MoveReason, ReplicaKey};
use millford_routing::EjectionReason;

use crate::fleet::event::Event;
use crate::fleet::fleet_options::FaultKind;
use crate::fleet::host::{Host, LOADER};
use crate::fleet::proxy_node::host_index;
use crate::fleet::simulation::Simulation;

/// Epoch of the placement role; constant because a simulated fleet has a single placer.
const EPOCH: u64 = 1;
/// Time without activity after which a backend in recent use is probed.
const PROBE_AFTER_IDLE: Duration = Duration::from_secs(1);
/// Speed, as a share of full speed, at or below which a probe times out.
const PROBE_SPEED: f64 = 0.02;
/// Core microseconds per prompt token of the emulated run that stands for loading a replica.
const LOADER_CORE_MICROS: f64 = 1600.0;

impl Simulation {
    /// Collects the load reports of all proxies and distributes the merged load snapshot to each.
    pub(crate) fn report(&mut self) {
        for (index, proxy) in self.proxies.iter().enumerate() {
            let member = format!("proxy-{index}");
            for report in proxy.load_table.take_reports() {
                self.placer.observe(self.now, &member, &report.loads);
            }
        }
        let snapshot = LoadSnapshot {
            service: self.options.pool.name.clone(),
            epoch: EPOCH,
            loads: self.placer.load_snapshot(self.now),
        };
        let mut open = vec![0; self.hosts.len()];
        for proxy in &self.proxies {
            for (total, own) in open.iter_mut().zip(&proxy.own_open_attempts) {
                *total += own;
            }
        }
        for proxy in &mut self.proxies {
            proxy.load_table.merge_snapshot(&snapshot);
            let others = open.iter().zip(&proxy.own_open_attempts);
            proxy.others_open_attempts = others.map(|(total, own)| total - own).collect();
        }
    }

    /// Runs one tick of the placement role; does nothing in a fleet without placement.
    pub(crate) fn plan(&mut self) {
        if self.options.placement.is_none() {
            return;
        }
        let outcome = self.placer.plan(
            self.now,
            EPOCH,
            &self.options.pool,
            &self.catalogue(),
            self.placement.as_ref(),
        );
        let counted = self.now <= MonotonicTime::ZERO + self.options.length;
        if counted && self.metrics.includes(self.now) {
            self.metrics.record_estimate(self.placer.utilization());
        }
        for step in &outcome.reasons {
            if step.reason.is_change() {
                self.metrics.placement_changes += 1;
            }
            self.record_transition(step.reason);
        }
        if let Some(placement) = outcome.placement {
            self.apply_placement(placement);
        }
    }

    fn record_transition(&mut self, reason: MoveReason) {
        let forced = reason == MoveReason::TransitionForced;
        self.metrics.forced_steps += u64::from(forced);
        if forced || reason == MoveReason::TransitionStep {
            self.metrics.transition_first_step.get_or_insert(self.now);
        }
    }

    fn apply_placement(&mut self, placement: PoolPlacement) {
        let first = self.placement.is_none();
        let before = replica_states(self.placement.as_ref());
        let after = replica_states(Some(&placement));
        self.placement = Some(placement);
        self.rebuild_serving();
        let previous: BTreeSet<&ReplicaKey> = before.iter().map(|(key, _)| key).collect();
        for (key, state) in &after {
            if !first && !previous.contains(key) {
                self.load_replica(key);
            }
            if *state == ReplicaState::ReplicaDraining {
                self.draining_since.entry(key.clone()).or_insert(self.now);
                self.begin_draining_requests(key);
            }
        }
        let remaining: BTreeSet<&ReplicaKey> = after.iter().map(|(key, _)| key).collect();
        for (key, _) in before.iter().filter(|(key, _)| !remaining.contains(key)) {
            self.remove_replica(key);
        }
        self.record_transition_end(&after);
    }

    /// Marks the requests in decode on a draining replica as draining in the load tables.
    fn begin_draining_requests(&mut self, key: &ReplicaKey) {
        let host = host_index(&key.backend);
        for request in self.requests.values_mut() {
            let model = request.model;
            if let Some(attempt) = request.attempt.as_mut()
                && attempt.host == host
                && model == key.model
                && attempt.version == key.version
                && attempt.first_token.is_some()
            {
                attempt.in_flight.begin_draining();
            }
        }
    }

    /// Removes a replica. Attempts that still run on it are lost.
    fn remove_replica(&mut self, key: &ReplicaKey) {
        self.record_drained(key);
        let host = host_index(&key.backend);
        let lost = self.requests_with(|request, attempt| {
            attempt.host == host && request.model == key.model && attempt.version == key.version
        });
        for id in lost {
            self.handle_lost_attempt(id);
        }
    }

    fn record_drained(&mut self, key: &ReplicaKey) {
        if let Some(since) = self.draining_since.remove(key) {
            let took = self.now.since(since);
            self.metrics.longest_drain = self.metrics.longest_drain.max(took);
        }
    }

    /// Updates the longest drain with the drains that are still in progress.
    pub(crate) fn record_open_drains(&mut self) {
        let longest = self
            .draining_since
            .values()
            .map(|since| self.now.since(*since))
            .max()
            .unwrap_or_default();
        self.metrics.longest_drain = self.metrics.longest_drain.max(longest);
    }

    fn record_transition_end(&mut self, replicas: &[(ReplicaKey, ReplicaState)]) {
        let target = &self.options.pool.target_version;
        let all_new = replicas.iter().all(|(key, _)| &key.version == target);
        if all_new && self.ordered_at.is_some() && self.metrics.transition_end.is_none() {
            self.metrics.transition_end = Some(self.now);
        }
    }

    /// Starts an emulated run on the replica's host that takes the processor time and memory bandwidth of loading it.
    fn load_replica(&mut self, key: &ReplicaKey) {
        let Some(placement) = &self.options.placement else {
            return;
        };
        let tokens = placement.load_core_seconds * 1_000_000.0 / LOADER_CORE_MICROS;
        if tokens < 1.0 {
            return;
        }
        let host = host_index(&key.backend);
        self.advance_host(host);
        let run = self.next_run;
        self.next_run += 1;
        let request = RunRequest {
            run,
            model: LOADER.to_owned(),
            prompt_tokens: tokens as u32,
            prompt_blocks: Vec::new(),
            output_tokens: 1,
        };
        // A host without a free slot loads the replica without this work.
        if self.hosts[host].backend.start(&request).is_ok() {
            self.reschedule_host(host);
        }
    }

    /// Probes ejected backends, and those in recent use that had no activity for a while.
    pub(crate) fn probe(&mut self) {
        if !self.options.retries.ejects {
            return;
        }
        for proxy in &self.proxies {
            for id in proxy.health.to_probe(self.now, PROBE_AFTER_IDLE) {
                let host = &self.hosts[host_index(&id)];
                if host.is_up && host.backend.speed() > PROBE_SPEED {
                    proxy.health.probe_succeeded(&id, self.now);
                } else if host.is_up {
                    proxy.health.probe_failed(&id);
                } else {
                    proxy.health.eject(&id, EjectionReason::ConnectFailed);
                }
            }
        }
    }

    /// Applies a fault or an operator's action.
    pub(crate) fn apply_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Kill { host } => self.kill(host),
            FaultKind::Restart { host } => self.restart(host),
            FaultKind::Slow { host, speed } => {
                self.advance_host(host);
                let now = self.now;
                self.hosts[host].backend.set_speed(now, speed);
                self.reschedule_host(host);
            }
            FaultKind::Retire { host } => self.retire(host),
            FaultKind::TargetVersion(version) => {
                version.clone_into(&mut self.options.pool.target_version);
                self.ordered_at = Some(self.now);
                self.rebuild_serving();
            }
        }
    }

    fn kill(&mut self, host: usize) {
        self.advance_host(host);
        self.hosts[host].is_up = false;
        for id in self.requests_with(|_, attempt| attempt.host == host) {
            self.handle_lost_attempt(id);
        }
        self.reschedule_host(host);
    }

    fn restart(&mut self, host: usize) {
        let now = self.now;
        let present: &mut Host = &mut self.hosts[host];
        present.is_up = true;
        present.backend.restart(now);
        self.reschedule_host(host);
    }

    fn retire(&mut self, host: usize) {
        self.hosts[host]
            .catalogue
            .set_state(BackendState::BackendDraining);
        self.retired_at.insert(host, self.now);
        self.rebuild_serving();
        let drain = Duration::from_millis(u64::from(self.options.pool.drain_ms));
        self.schedule(drain, Event::Retired { host });
    }

    /// Stops a retired backend at the end of its drain time. Attempts that still run on it are lost.
    pub(crate) fn stop_retired(&mut self, host: usize) {
        self.hosts[host]
            .catalogue
            .set_state(BackendState::BackendGone);
        self.kill(host);
        self.rebuild_serving();
    }
}

fn replica_states(placement: Option<&PoolPlacement>) -> Vec<(ReplicaKey, ReplicaState)> {
    placement
        .into_iter()
        .flat_map(|placement| &placement.replicas)
        .map(|replica| (replica.into(), replica.state()))
        .collect()
}
