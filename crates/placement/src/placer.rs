//! Planning of one pool's placement.

use std::collections::BTreeMap;

use millford_api::config::Pool;
use millford_api::internal::{CostSample, ReplicaLoad};
use millford_api::state::{Backend, PoolPlacement};
use millford_core::MonotonicTime;

use crate::cost::{BandwidthAttribution, BandwidthObservation, CostModel};
use crate::load::{LoadSnapshot, SmoothedLoad};
use crate::options::PlacerOptions;
use crate::plan::draft::Draft;
use crate::plan::moves::{Move, MoveReason, PlanOutcome};
use crate::plan::pool_view::{PoolLoad, PoolView};
use crate::plan::retire::{DrainTimers, remove_drained, retire};
use crate::plan::scale::{SurplusTimers, Withdrawal, scale};
use crate::plan::transition::{Transitions, transition};
use crate::plan::weights::{BandwidthTimers, adjust_weights};
use crate::replica_key::ReplicaKey;

/// Most cost samples kept until the next tick, at which the backends' cores are known. Further ones
/// are dropped.
const MAX_PENDING_SAMPLES: usize = 4096;

/// Plans the placement of one pool. Its state is not replicated: after a change of leader it is
/// learned again from the members' reports.
#[derive(Clone, Debug)]
pub struct Placer {
    options: PlacerOptions,
    load_snapshot: LoadSnapshot,
    costs: CostModel,
    bandwidth: BandwidthAttribution,
    pending: Vec<PendingSample>,
    smoothed: SmoothedLoad,
    drains: DrainTimers,
    surplus: SurplusTimers,
    bandwidth_timers: BandwidthTimers,
    transitions: Transitions,
    last_withdrawal: Option<MonotonicTime>,
    utilization: f64,
}

#[derive(Clone, Debug)]
struct PendingSample {
    replica: ReplicaKey,
    sample: CostSample,
    streams: u32,
}

impl Placer {
    /// Creates a placer without reports.
    #[must_use]
    pub fn new(options: PlacerOptions) -> Self {
        Self {
            load_snapshot: LoadSnapshot::new(options.member_stale_after),
            costs: CostModel::default(),
            bandwidth: BandwidthAttribution::new(
                options.prior_stream_gbps,
                options.declared_stream_gbps.clone(),
            ),
            pending: Vec::new(),
            smoothed: SmoothedLoad::new(options.smoothing, options.utilization_smoothing),
            drains: DrainTimers::default(),
            surplus: SurplusTimers::default(),
            bandwidth_timers: BandwidthTimers::default(),
            transitions: Transitions::default(),
            last_withdrawal: None,
            utilization: 0.0,
            options,
        }
    }

    /// Records a member's report: changed counts of its work in flight, and new cost samples.
    ///
    /// Counts that the report does not list stay until they expire.
    pub fn observe(&mut self, now: MonotonicTime, member: &str, loads: &[ReplicaLoad]) {
        self.load_snapshot.observe(now, member, loads);
        if loads.iter().all(|load| load.samples.is_empty()) {
            return;
        }
        let totals = self.load_snapshot.totals(now);
        for load in loads {
            let replica = ReplicaKey::from(load);
            let on_replica = totals.get(&replica).map_or(0, |work| work.decode_streams);
            for sample in &load.samples {
                if self.pending.len() >= MAX_PENDING_SAMPLES {
                    return;
                }
                self.pending.push(PendingSample {
                    replica: replica.clone(),
                    sample: *sample,
                    streams: on_replica.max(sample.streams_at_start),
                });
            }
        }
    }

    /// Drops the counts of a member whose session has ended.
    pub fn forget(&mut self, member: &str) {
        self.load_snapshot.forget(member);
    }

    /// Returns the work in flight over all members, without stale counts, as it is sent to the
    /// nodes.
    #[must_use]
    pub fn load_snapshot(&self, now: MonotonicTime) -> Vec<ReplicaLoad> {
        self.load_snapshot.to_loads(now)
    }

    /// Returns the number of members with counts in the load snapshot.
    #[must_use]
    pub fn members(&self) -> usize {
        self.load_snapshot.members()
    }

    /// Returns the estimated utilization of the pool at the last tick, which the transition gate
    /// compares with the budget; 1 means fully used.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.utilization
    }

    /// Returns the learned processor costs of the models.
    #[must_use]
    pub fn costs(&self) -> &CostModel {
        &self.costs
    }

    /// Returns the learned memory bandwidth use of the models.
    #[must_use]
    pub fn bandwidth(&self) -> &BandwidthAttribution {
        &self.bandwidth
    }

    /// Plans one tick. The caller publishes the placement under `epoch` through its shard's log.
    ///
    /// The steps run in this order: retirements, number of replicas, weights by bandwidth,
    /// transitions. Transitions run only in a tick in which the two steps before them change
    /// nothing.
    pub fn plan(
        &mut self,
        now: MonotonicTime,
        epoch: u64,
        pool: &Pool,
        backends: &BTreeMap<String, Backend>,
        current: Option<&PoolPlacement>,
    ) -> PlanOutcome {
        self.load_snapshot.expire(now);
        self.learn(backends);
        let work = self.load_snapshot.totals(now);
        self.smoothed.observe(now, &work);
        let smoothed = self.smoothed.clone();
        // A placement with a higher epoch comes from a later leader, which must not be overwritten.
        if let Some(current) = current.filter(|current| current.epoch > epoch) {
            return fenced(current);
        }
        let costs = self.costs.clone();
        self.bandwidth
            .retain_backends(|backend| backends.contains_key(backend));
        let bandwidth = self.bandwidth.clone();
        let options = self.options.clone();
        let load = PoolLoad {
            costs: &costs,
            bandwidth: &bandwidth,
            work: &work,
            smoothed: &smoothed,
        };
        let view = PoolView::new(now, &options, pool, backends, load);
        self.utilization = view.pool_utilization();
        let mut draft = Draft::new(current);
        self.run_steps(&view, &mut draft);
        self.drains.update(&draft, now);
        let placement = (draft.changes() > 0).then(|| draft.to_placement(&pool.name, epoch));
        PlanOutcome {
            placement,
            reasons: draft.moves,
        }
    }

    fn run_steps(&mut self, view: &PoolView<'_>, draft: &mut Draft) {
        self.drains.update(draft, view.now);
        retire(view, draft);
        remove_drained(view, &self.drains, draft);
        let before = draft.changes();
        let withdrawal = self.withdrawal(view);
        scale(view, &mut self.surplus, withdrawal, draft);
        let mut reasons = draft.moves.iter().map(|step| step.reason);
        if reasons.any(|reason| reason == MoveReason::ScaledDown) {
            self.last_withdrawal = Some(view.now);
        }
        adjust_weights(view, &mut self.bandwidth_timers, draft);
        if draft.changes() > before {
            return;
        }
        transition(view, &mut self.transitions, draft);
    }

    fn withdrawal(&self, view: &PoolView<'_>) -> Withdrawal {
        let passed = self.last_withdrawal.map(|last| view.now.since(last));
        if passed.is_some_and(|passed| passed < view.options.step_interval) {
            Withdrawal::TooSoon
        } else {
            Withdrawal::Allowed
        }
    }

    /// Updates the cost estimates with the pending samples. Samples of unknown backends are
    /// dropped.
    fn learn(&mut self, backends: &BTreeMap<String, Backend>) {
        for pending in std::mem::take(&mut self.pending) {
            let Some(backend) = backends.get(&pending.replica.backend) else {
                continue;
            };
            let cores = f64::from(backend.cores.max(1));
            self.learn_bandwidth(&pending, backend);
            self.costs.observe(
                &pending.replica.model,
                &pending.sample,
                cores,
                pending.streams,
            );
        }
    }

    /// Updates the estimated bandwidth use with a sample's inter-token time. It runs before the
    /// sample is added to the cost fit, so that the sample does not influence the time expected for
    /// it.
    fn learn_bandwidth(&mut self, pending: &PendingSample, backend: &Backend) {
        let cost = self.costs.model(&pending.replica.model);
        if pending.sample.output_tokens < 2 || !cost.decode.is_trusted() {
            return;
        }
        let intervals = f64::from(pending.sample.output_tokens - 1);
        let measured_ms = f64::from(pending.sample.decode_ms) / intervals;
        let explained_ms = cost.decode.value(f64::from(pending.streams.max(1)));
        if explained_ms <= 0.0 || backend.bandwidth_gbps <= 0.0 {
            return;
        }
        let observation = BandwidthObservation {
            backend: backend.id.clone(),
            bandwidth_gbps: backend.bandwidth_gbps,
            streams: self.smoothed.streams_on(&backend.id),
            inflation: measured_ms / explained_ms,
        };
        self.bandwidth.observe(&observation);
    }
}

fn fenced(current: &PoolPlacement) -> PlanOutcome {
    let replica = ReplicaKey::new("", &current.pool, "");
    PlanOutcome {
        placement: None,
        reasons: vec![Move {
            replica,
            reason: MoveReason::Fenced,
        }],
    }
}
