//! The placement role of one pool.

use std::collections::BTreeMap;

use millford_api::config::Pool;
use millford_api::internal::{CostSample, ReplicaLoad};
use millford_api::state::{Backend, PoolPlacement};
use millford_core::MonotonicTime;

use crate::cost::{BandwidthAttribution, BandwidthObservation, CostModel};
use crate::load::{LoadSnapshot, SmoothedLoad};
use crate::options::PlacerOptions;
use crate::plan::bandwidth::{PressureClock, weigh};
use crate::plan::draft::Draft;
use crate::plan::moves::{Move, MoveReason, PlanOutcome};
use crate::plan::pool_view::{PoolLoad, PoolView};
use crate::plan::retire::{DrainClock, remove_drained, retire};
use crate::plan::scale::{SurplusClock, scale};
use crate::plan::transition::{TransitionClock, transition};
use crate::replica_key::ReplicaKey;

/// Samples kept until the next tick knows the backends' cores.
const MOST_PENDING_SAMPLES: usize = 4096;

/// Plans the placement of one pool. Holds only what can be learned again after a change of leader.
#[derive(Clone, Debug)]
pub struct Placer {
    options: PlacerOptions,
    picture: LoadSnapshot,
    costs: CostModel,
    bandwidth: BandwidthAttribution,
    pending: Vec<PendingSample>,
    smoothed: SmoothedLoad,
    drains: DrainClock,
    surplus: SurplusClock,
    pressure: PressureClock,
    transitions: TransitionClock,
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
    /// A placer that knows nothing yet.
    #[must_use]
    pub fn new(options: PlacerOptions) -> Self {
        Self {
            picture: LoadSnapshot::new(options.member_stale_after),
            costs: CostModel::default(),
            bandwidth: BandwidthAttribution::new(
                options.prior_stream_gbps,
                options.declared_stream_gbps.clone(),
            ),
            pending: Vec::new(),
            smoothed: SmoothedLoad::new(options.smoothing, options.utilization_smoothing),
            drains: DrainClock::default(),
            surplus: SurplusClock::default(),
            pressure: PressureClock::default(),
            transitions: TransitionClock::default(),
            last_withdrawal: None,
            utilization: 0.0,
            options,
        }
    }

    /// Takes a member's report: what changed in what it has in flight, and its new cost samples.
    ///
    /// Counts that it does not list stay until they age out.
    pub fn observe(&mut self, now: MonotonicTime, member: &str, loads: &[ReplicaLoad]) {
        self.picture.observe(now, member, loads);
        if loads.iter().all(|load| load.samples.is_empty()) {
            return;
        }
        let totals = self.picture.totals(now);
        for load in loads {
            let replica = ReplicaKey::from(load);
            let on_replica = totals.get(&replica).map_or(0, |work| work.decode_streams);
            for sample in &load.samples {
                if self.pending.len() >= MOST_PENDING_SAMPLES {
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

    /// Forgets a member whose session has ended.
    pub fn forget(&mut self, member: &str) {
        self.picture.forget(member);
    }

    /// What all members together have in flight, without stale ones; sent back to the nodes.
    #[must_use]
    pub fn picture(&self, now: MonotonicTime) -> Vec<ReplicaLoad> {
        self.picture.to_loads(now)
    }

    /// How many members' counts the picture holds.
    #[must_use]
    pub fn members(&self) -> usize {
        self.picture.members()
    }

    /// Estimated utilization of the pool at the last tick: what the transition gate judges.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.utilization
    }

    /// Learned costs.
    #[must_use]
    pub fn costs(&self) -> &CostModel {
        &self.costs
    }

    /// Learned bandwidth use.
    #[must_use]
    pub fn bandwidth(&self) -> &BandwidthAttribution {
        &self.bandwidth
    }

    /// Plans one tick. The caller publishes the placement under `epoch` through its shard's log.
    ///
    /// Order of the steps: retirements, wanted replicas, bandwidth, transitions. Transitions wait for a tick in
    /// which the steps before them, retirements aside, change nothing.
    pub fn plan(
        &mut self,
        now: MonotonicTime,
        epoch: u64,
        pool: &Pool,
        backends: &BTreeMap<String, Backend>,
        current: Option<&PoolPlacement>,
    ) -> PlanOutcome {
        self.picture.expire(now);
        self.learn(backends);
        let work = self.picture.totals(now);
        self.smoothed.observe(now, &work);
        let smoothed = self.smoothed.clone();
        // A placer whose epoch is behind was replaced: it must not publish over its successor.
        if let Some(current) = current.filter(|current| current.epoch > epoch) {
            return fenced(current);
        }
        let costs = self.costs.clone();
        self.bandwidth
            .keep_backends(|backend| backends.contains_key(backend));
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
        self.drains.follow(&draft, now);
        let placement = (draft.changes() > 0).then(|| draft.to_placement(&pool.name, epoch));
        PlanOutcome {
            placement,
            reasons: draft.moves,
        }
    }

    fn run_steps(&mut self, view: &PoolView, draft: &mut Draft) {
        self.drains.follow(draft, view.now);
        retire(view, draft);
        remove_drained(view, &self.drains, draft);
        let before = draft.changes();
        let interval = view.options.step_interval;
        let may_withdraw = self
            .last_withdrawal
            .is_none_or(|last| view.now.since(last) >= interval);
        scale(view, &mut self.surplus, may_withdraw, draft);
        if draft
            .moves
            .iter()
            .any(|step| step.reason == MoveReason::ScaledDown)
        {
            self.last_withdrawal = Some(view.now);
        }
        weigh(view, &mut self.pressure, draft);
        if draft.changes() > before {
            return;
        }
        transition(view, &mut self.transitions, draft);
    }

    /// Learns costs from the pending samples; those of unknown backends are dropped.
    fn learn(&mut self, backends: &BTreeMap<String, Backend>) {
        for pending in std::mem::take(&mut self.pending) {
            let Some(backend) = backends.get(&pending.replica.backend) else {
                continue;
            };
            let cores = f64::from(backend.cores.max(1));
            self.inflations(&pending, backend);
            self.costs.observe(
                &pending.replica.model,
                &pending.sample,
                cores,
                pending.streams,
            );
        }
    }

    /// Learns bandwidth use from a sample's inter-token time, before the fit takes the sample in.
    fn inflations(&mut self, pending: &PendingSample, backend: &Backend) {
        let cost = self.costs.model(&pending.replica.model);
        if pending.sample.output_tokens < 2 || !cost.decode.is_trusted() {
            return;
        }
        let intervals = f64::from(pending.sample.output_tokens - 1);
        let seen_ms = f64::from(pending.sample.decode_ms) / intervals;
        let explained_ms = cost.decode.value(f64::from(pending.streams.max(1)));
        if explained_ms <= 0.0 || backend.bandwidth_gbps <= 0.0 {
            return;
        }
        let observation = BandwidthObservation {
            backend: backend.id.clone(),
            bandwidth_gbps: backend.bandwidth_gbps,
            streams: self.smoothed.streams_on(&backend.id),
            inflation: seen_ms / explained_ms,
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
