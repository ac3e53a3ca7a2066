//! Checks that a tenant's quota holds over all nodes together.

use super::history::{History, TenantQuota};
use super::verdict::Verdict;
use crate::caller::{Ending, RequestOutcome};

/// Checks every window between two admitted requests of a tenant.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("a tenant's quota holds over all nodes");
    let mut worst: f64 = 0.0;
    for (tenant, quota) in &history.quotas {
        let admitted: Vec<Admitted> = history
            .calls
            .iter()
            .filter(|call| &call.tenant == tenant)
            .filter_map(Admitted::of)
            .collect();
        verdict.judged += admitted.len();
        let share = worst_share(&admitted, *quota);
        worst = worst.max(share);
        if share > 1.0 {
            let percent = share * 100.0;
            verdict.record_violation(format!(
                "{tenant} got {percent:.0} % of its quota in some window"
            ));
        }
    }
    verdict.worst = Some(format!("{:.0} % of a quota", worst * 100.0));
    verdict
}

/// Earliest and latest time at which an admitted request can have consumed quota.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    from_micros: u64,
    until_micros: u64,
}

impl Admitted {
    /// Returns the times of one request, or `None` if it may have ended without consuming quota.
    fn of(call: &RequestOutcome) -> Option<Self> {
        let was_admitted =
            call.succeeded() || matches!(call.ending, Ending::Broken if !call.chunks.is_empty());
        let until_micros = call.chunks.first()?.at_micros;
        was_admitted.then_some(Self {
            from_micros: call.started_micros,
            until_micros,
        })
    }
}

/// Returns the largest ratio, over all windows, of requests certainly admitted within the window to the
/// number that the quota allows in it.
fn worst_share(admitted: &[Admitted], quota: TenantQuota) -> f64 {
    let mut by_end = admitted.to_vec();
    by_end.sort_by_key(|call| call.until_micros);
    let mut starts: Vec<u64> = admitted.iter().map(|call| call.from_micros).collect();
    starts.sort_unstable();
    starts.dedup();
    let mut worst: f64 = 0.0;
    for start in starts {
        let mut count = 0.0;
        for call in by_end.iter().filter(|call| call.from_micros >= start) {
            count += 1.0;
            let seconds = (call.until_micros - start) as f64 / 1_000_000.0;
            let rate = f64::from(quota.requests_per_second);
            let allowed = f64::from(quota.burst) + rate * seconds;
            worst = worst.max(count / allowed);
        }
    }
    worst
}
