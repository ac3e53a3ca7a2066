//! No node falls back to an older revision once it has shown a newer one.

use std::collections::BTreeMap;

use millford_core::ResultCode;

use super::history::{History, RevisionShown};
use super::verdict::Verdict;
use crate::caller::{CallOutcome, Ending};

/// Judges what every node showed, to callers and operators.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no node falls back to an older revision");
    for (node, mut shown) in shown_by_node(history) {
        verdict.judged += shown.len();
        shown.sort_by_key(|shown| shown.asked_micros);
        let mut answered = shown.clone();
        answered.sort_by_key(|shown| shown.answered_micros);
        let mut earlier = answered.into_iter().peekable();
        let mut newest = 0;
        for later in shown {
            // Only answers that were there before the question was put must not be newer.
            while let Some(before) =
                earlier.next_if(|before| before.answered_micros < later.asked_micros)
            {
                newest = newest.max(before.revision);
            }
            if later.revision < newest {
                let revision = later.revision;
                verdict.violate(format!("{node} showed {revision} after {newest}"));
            }
        }
    }
    verdict
}

/// A node that refuses because it has no confirmed configuration yet shows none.
fn says_not_ready(call: &CallOutcome) -> bool {
    let not_ready = ResultCode::NotReady.number();
    matches!(call.ending, Ending::Failure { code, .. } if code == not_ready)
}

fn shown_by_node(history: &History) -> BTreeMap<String, Vec<RevisionShown>> {
    let mut nodes: BTreeMap<String, Vec<RevisionShown>> = BTreeMap::new();
    for shown in &history.shown {
        nodes
            .entry(shown.node.clone())
            .or_default()
            .push(shown.clone());
    }
    for call in &history.calls {
        let Some(revision) = call.revision else {
            continue;
        };
        if says_not_ready(call) {
            continue;
        }
        let node = format!("proxy {}", call.proxy);
        let shown = RevisionShown {
            node: node.clone(),
            asked_micros: call.started_micros,
            // The head of the answer came with the first piece at the latest.
            answered_micros: call
                .pieces
                .first()
                .map_or(call.ended_micros, |piece| piece.at_micros),
            revision,
        };
        nodes.entry(node).or_default().push(shown);
    }
    nodes
}
