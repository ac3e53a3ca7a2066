//! Checks that retries and hedges to further backends stay within a fifth of the requests.

use super::history::History;
use super::verdict::Verdict;

/// Largest share of second sends among requests, in percent.
const LARGEST_SHARE_PERCENT: usize = 20;
/// Number of requests below which the share is not significant.
const FEWEST_REQUESTS: usize = 20;

/// Checks the share over all requests of the fleet.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("second sends within a fifth of traffic");
    let groups = history.executions_by_marker();
    let requests = groups.len();
    let second_sends = history.executions.len() - requests;
    verdict.judged = requests;
    let share = second_sends as f64 * 100.0 / requests.max(1) as f64;
    verdict.worst = Some(format!("{share:.1} %"));
    let broken = second_sends * 100 > requests * LARGEST_SHARE_PERCENT;
    if requests >= FEWEST_REQUESTS && broken {
        verdict.record_violation(format!(
            "{second_sends} second sends for {requests} requests"
        ));
    }
    verdict
}
