//! Checks that no request of a tenant under its quota is refused for the quota.

use millford_core::ResultCode;

use super::history::{History, TenantQuota};
use super::verdict::Verdict;
use crate::caller::{Ending, RequestOutcome};

/// Checks every refusal for an exceeded quota and, outside of disturbances, every refusal for lack of a quota
/// decision.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no tenant under its quota is refused");
    for (tenant, quota) in &history.quotas {
        let calls: Vec<&RequestOutcome> = history
            .calls
            .iter()
            .filter(|call| &call.tenant == tenant)
            .collect();
        for refused in calls.iter().filter(|call| is_quota_refusal(call)) {
            if is_undecided(refused) && history.is_disturbed(refused.started_micros) {
                continue;
            }
            verdict.judged += 1;
            // The decision was made between the two times.
            let early = fewest_tokens_at(&calls, refused.started_micros, *quota);
            let late = fewest_tokens_at(&calls, refused.ended_micros, *quota);
            let level = early.min(late);
            if level >= 1.0 {
                let marker = &refused.marker;
                verdict.record_violation(format!(
                    "{tenant}: {marker} refused with {level:.1} tokens left"
                ));
            }
        }
    }
    verdict
}

fn is_quota_refusal(call: &RequestOutcome) -> bool {
    has_code(call, ResultCode::QuotaExceeded) || is_undecided(call)
}

fn is_undecided(call: &RequestOutcome) -> bool {
    has_code(call, ResultCode::QuotaUnavailable)
}

fn has_code(call: &RequestOutcome, wanted: ResultCode) -> bool {
    matches!(call.ending, Ending::Failure { code, .. } if code == wanted.number())
}

/// Returns the fewest tokens that an exact bucket can hold at `at`: every request that began before and was
/// not refused for the quota consumed one, at the latest possible time.
///
/// Late consumption leaves the fewest tokens, since a full bucket gains none until a token is consumed.
fn fewest_tokens_at(calls: &[&RequestOutcome], at: u64, quota: TenantQuota) -> f64 {
    let before = calls
        .iter()
        .filter(|call| call.started_micros <= at && !is_quota_refusal(call));
    let mut consumed: Vec<u64> = before
        .map(|call| latest_consumption(call).min(at))
        .collect();
    consumed.sort_unstable();
    let mut level = f64::from(quota.burst);
    let mut last = consumed.first().copied().unwrap_or(at);
    for time in consumed {
        level = refill(level, last, time, quota) - 1.0;
        last = time;
    }
    refill(level, last, at, quota)
}

fn latest_consumption(call: &RequestOutcome) -> u64 {
    call.chunks
        .first()
        .map_or(call.ended_micros, |chunk| chunk.at_micros)
}

fn refill(level: f64, from: u64, until: u64, quota: TenantQuota) -> f64 {
    let seconds = until.saturating_sub(from) as f64 / 1_000_000.0;
    (level + seconds * f64::from(quota.requests_per_second)).min(f64::from(quota.burst))
}
