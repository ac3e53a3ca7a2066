//! No tenant under its quota is turned away.

use millford_core::ResultCode;

use super::history::{History, TenantQuota};
use super::verdict::Verdict;
use crate::caller::{CallOutcome, Ending};

/// Judges every refusal for the request rate, and every refusal for want of a quota decision
/// outside of disturbances.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no tenant under its quota is turned away");
    for (tenant, quota) in &history.quotas {
        let calls: Vec<&CallOutcome> = history
            .calls
            .iter()
            .filter(|call| &call.tenant == tenant)
            .collect();
        for refused in calls.iter().filter(|call| is_quota_refusal(call)) {
            if is_undecided(refused) && history.is_disturbed(refused.started_micros) {
                continue;
            }
            verdict.judged += 1;
            let level = level_at(&calls, refused.ended_micros, *quota);
            if level >= 1.0 {
                let marker = &refused.marker;
                verdict.violate(format!(
                    "{tenant}: {marker} refused with {level:.1} tokens left"
                ));
            }
        }
    }
    verdict
}

fn is_quota_refusal(call: &CallOutcome) -> bool {
    has_code(call, ResultCode::QuotaExceeded) || is_undecided(call)
}

fn is_undecided(call: &CallOutcome) -> bool {
    has_code(call, ResultCode::QuotaUnavailable)
}

fn has_code(call: &CallOutcome, wanted: ResultCode) -> bool {
    matches!(call.ending, Ending::Failure { code, .. } if code == wanted.number())
}

/// Tokens that an exact bucket holds at `at`, if every call that began before and was not refused
/// for the quota took one as it began.
fn level_at(calls: &[&CallOutcome], at: u64, quota: TenantQuota) -> f64 {
    let before = calls
        .iter()
        .filter(|call| call.started_micros <= at && !is_quota_refusal(call));
    let mut taken: Vec<u64> = before.map(|call| call.started_micros).collect();
    taken.sort_unstable();
    let burst = f64::from(quota.burst);
    let mut level = burst;
    let mut last = taken.first().copied().unwrap_or(at);
    for time in taken {
        level = refill(level, last, time, quota) - 1.0;
        last = time;
    }
    refill(level, last, at, quota)
}

fn refill(level: f64, from: u64, until: u64, quota: TenantQuota) -> f64 {
    let seconds = until.saturating_sub(from) as f64 / 1_000_000.0;
    (level + seconds * f64::from(quota.requests_per_second)).min(f64::from(quota.burst))
}
