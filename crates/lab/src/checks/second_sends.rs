//! Sends to a second backend stay within a fifth of traffic.

use super::history::History;
use super::verdict::Verdict;

/// Largest share of second sends, in percent.
const LARGEST_SHARE_PERCENT: usize = 20;
/// Requests below which a share says nothing.
const FEWEST_REQUESTS: usize = 20;

/// Judges the whole fleet together.
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
        verdict.violate(format!(
            "{second_sends} second sends for {requests} requests"
        ));
    }
    verdict
}
