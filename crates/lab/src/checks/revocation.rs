//! Checks that a revoked key stops working within two seconds.

use super::history::History;
use super::verdict::{Verdict, keep_worst, millis_text};

/// Longest time for which a revoked key may still work, in microseconds.
const REVOCATION_BOUND_MICROS: u64 = 2_000_000;

/// Checks every request with a revoked key; a success during a disturbance is no violation.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("a revoked key stops within 2 s");
    let mut worst = None;
    for revocation in &history.revocations {
        let until = revocation.restored_micros.unwrap_or(u64::MAX);
        let revoked = revocation.acknowledged_micros..until;
        let calls = history
            .calls
            .iter()
            .filter(|call| call.tenant == revocation.tenant);
        for call in calls.filter(|call| revoked.contains(&call.started_micros)) {
            verdict.judged += 1;
            if !call.succeeded() || history.is_disturbed(call.started_micros) {
                continue;
            }
            let age = call.started_micros - revocation.acknowledged_micros;
            keep_worst(&mut worst, age);
            if age > REVOCATION_BOUND_MICROS {
                let tenant = &revocation.tenant;
                verdict.record_violation(format!(
                    "a key of {tenant} worked {} after its revocation",
                    millis_text(age)
                ));
            }
        }
    }
    verdict.worst = worst.map(millis_text);
    verdict
}
