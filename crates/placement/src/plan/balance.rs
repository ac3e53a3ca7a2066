//! Last step: shares of new work on backends of different size and company.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::plan::draft::{Draft, FULL_WEIGHT_MILLI};
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Smallest weight that balancing gives, in thousandths.
const LEAST_WEIGHT_MILLI: f64 = 100.0;
/// Weights are rounded to this step, in thousandths.
const WEIGHT_STEP_MILLI: f64 = 50.0;
/// Share of the bandwidth ceiling above which a weight is not raised.
const NEAR_CEILING: f64 = 0.85;

/// When weights last changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct BalanceClock {
    last: Option<MonotonicTime>,
}

/// Sets weights that are far enough from what they should be.
pub fn balance(view: &PoolView, clock: &mut BalanceClock, draft: &mut Draft) {
    let rested = clock
        .last
        .is_none_or(|last| view.now.since(last) >= view.options.balance_interval);
    if !rested {
        return;
    }
    let largest_cores = view
        .active_backends()
        .map(|backend| backend.cores)
        .max()
        .unwrap_or(1)
        .max(1);
    let mut wanted: BTreeMap<ReplicaKey, u32> = BTreeMap::new();
    for key in draft.active() {
        wanted.insert(key.clone(), weight(view, key, f64::from(largest_cores)));
    }
    let before = draft.changes();
    for (key, weight_milli) in wanted {
        let present = draft
            .replicas
            .get(&key)
            .map_or(0, |replica| replica.weight_milli);
        let raises_near_ceiling = weight_milli > present && near_ceiling(view, &key.backend);
        let far = present.abs_diff(weight_milli) >= view.options.balance_difference_milli;
        if far && !raises_near_ceiling {
            draft.reweight(&key, weight_milli, MoveReason::Reweighted);
        }
    }
    if draft.changes() > before {
        clock.last = Some(view.now);
    }
}

/// Cores of the backend against the largest, less what other models keep busy.
fn weight(view: &PoolView, key: &ReplicaKey, largest_cores: f64) -> u32 {
    let cores = view
        .backends
        .get(&key.backend)
        .map_or(0, |backend| backend.cores);
    let size = if cores == 0 {
        1.0
    } else {
        f64::from(cores) / largest_cores
    };
    let others = view.utilization(&key.backend) - view.model_utilization(&key.backend, &key.model);
    let left = (1.0 - others.max(0.0)).max(0.0);
    let milli = f64::from(FULL_WEIGHT_MILLI) * size * left;
    let rounded = (milli / WEIGHT_STEP_MILLI).round() * WEIGHT_STEP_MILLI;
    rounded.max(LEAST_WEIGHT_MILLI) as u32
}

fn near_ceiling(view: &PoolView, backend: &str) -> bool {
    let limit = view.bandwidth_limit(backend);
    view.options.bandwidth_dimension
        && limit > 0.0
        && view.bandwidth_use(backend) > limit * NEAR_CEILING
}
