//! Checks that no node reports an older revision after a newer one.

use std::collections::BTreeMap;

use millford_core::ResultCode;

use super::history::{AppliedRevision, History};
use super::verdict::Verdict;
use crate::caller::{Ending, RequestOutcome};

/// Checks the revisions that each node reported, both in responses to callers and outside of requests.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no node falls back to an older revision");
    for (node, mut applied_revisions) in applied_by_node(history) {
        verdict.judged += applied_revisions.len();
        applied_revisions.sort_by_key(|applied_revision| applied_revision.requested_micros);
        let mut answered = applied_revisions.clone();
        answered.sort_by_key(|applied_revision| applied_revision.answered_micros);
        let mut earlier = answered.into_iter().peekable();
        let mut newest = 0;
        for later in applied_revisions {
            // Only responses that had arrived before this request was sent must not be newer.
            while let Some(before) =
                earlier.next_if(|before| before.answered_micros < later.requested_micros)
            {
                newest = newest.max(before.revision);
            }
            if later.revision < newest {
                let revision = later.revision;
                verdict.record_violation(format!(
                    "{node} reported revision {revision} after {newest}"
                ));
            }
        }
    }
    verdict
}

/// Returns whether the node refused the request because it has no confirmed configuration yet; the
/// revision of such a response does not count.
fn reports_not_ready(call: &RequestOutcome) -> bool {
    let not_ready = ResultCode::NotReady.number();
    matches!(call.ending, Ending::Failure { code, .. } if code == not_ready)
}

fn applied_by_node(history: &History) -> BTreeMap<String, Vec<AppliedRevision>> {
    let mut nodes: BTreeMap<String, Vec<AppliedRevision>> = BTreeMap::new();
    for applied_revision in &history.applied_revisions {
        nodes
            .entry(applied_revision.node.clone())
            .or_default()
            .push(applied_revision.clone());
    }
    for call in &history.calls {
        let Some(revision) = call.revision else {
            continue;
        };
        if reports_not_ready(call) {
            continue;
        }
        let node = format!("proxy {}", call.proxy);
        let applied_revision = AppliedRevision {
            node: node.clone(),
            requested_micros: call.started_micros,
            // The response head arrived with the first chunk at the latest.
            answered_micros: call
                .chunks
                .first()
                .map_or(call.ended_micros, |chunk| chunk.at_micros),
            revision,
        };
        nodes.entry(node).or_default().push(applied_revision);
    }
    nodes
}
