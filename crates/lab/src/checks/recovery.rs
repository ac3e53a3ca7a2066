//! Checks that all proxies serve again within twelve seconds after the processes are back.

use super::history::History;
use super::verdict::{Verdict, keep_worst, millis_text};

/// Longest time from the end of a fault to full service, in microseconds.
const RECOVERY_BOUND_MICROS: u64 = 12_000_000;

/// Checks the time to full service after every outage.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("service returns within 12 s");
    let mut worst = None;
    for recovery in &history.recoveries {
        verdict.judged += 1;
        let Some(served) = recovery.served_micros else {
            verdict.record_violation(format!("service did not recover after: {}", recovery.what));
            continue;
        };
        let took = served.saturating_sub(recovery.healed_micros);
        keep_worst(&mut worst, took);
        if took > RECOVERY_BOUND_MICROS {
            verdict.record_violation(format!("{} after: {}", millis_text(took), recovery.what));
        }
    }
    verdict.worst = worst.map(millis_text);
    verdict
}
