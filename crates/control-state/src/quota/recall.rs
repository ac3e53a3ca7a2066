//! Recalls of idle tokens and slots from the nodes.

use millford_core::{Duration, MonotonicTime};

/// Session of a node that a recall is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecallTarget {
    pub(super) member: String,
    pub(super) epoch: u64,
}

/// Whether a recall is due that was last sent at `sent_at`; `None` when it was never sent.
pub(super) fn is_recall_due(
    sent_at: Option<MonotonicTime>,
    now: MonotonicTime,
    retry_delay: Duration,
) -> bool {
    sent_at.is_none_or(|sent| now.since(sent) >= retry_delay)
}
