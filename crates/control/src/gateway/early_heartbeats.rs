//! Heartbeats received by a starting node before its first quorum.

use std::collections::BTreeMap;

use millford_api::internal::Heartbeat;
use millford_core::MonotonicTime;

use crate::link::LinkId;
use crate::timing::EARLY_HEARTBEAT_TIMEOUT;

/// Heartbeats whose replies wait for this node's first quorum.
///
/// When all nodes start at once, each is without a quorum for the length of an election. An agent
/// whose heartbeat is answered without a quorum tries the other nodes, which have none either, and
/// then backs off, often for longer than the election takes. A starting node therefore defers its
/// replies for up to [`EARLY_HEARTBEAT_TIMEOUT`]. After that, or after its first quorum, it replies
/// at once until it stops.
#[derive(Debug)]
pub(super) struct EarlyHeartbeats {
    deadline: MonotonicTime,
    /// Set permanently at the first quorum or at the deadline.
    finished: bool,
    waiting: BTreeMap<LinkId, Heartbeat>,
}

impl EarlyHeartbeats {
    /// Starts deferring, for a process that starts now.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            deadline: now + EARLY_HEARTBEAT_TIMEOUT,
            finished: false,
            waiting: BTreeMap::new(),
        }
    }

    /// Whether replies are still deferred.
    pub(super) fn is_deferring(&self) -> bool {
        !self.finished
    }

    /// Defers a heartbeat. It replaces an earlier one of the same link.
    pub(super) fn defer(&mut self, link: LinkId, heartbeat: &Heartbeat) {
        self.waiting.insert(link, heartbeat.clone());
    }

    /// Drops the heartbeat of a closed link.
    pub(super) fn forget_link(&mut self, link: LinkId) {
        self.waiting.remove(&link);
    }

    /// Takes the deferred heartbeats once the node has a quorum or the timeout has passed; returns
    /// none before.
    pub(super) fn release(
        &mut self,
        now: MonotonicTime,
        has_quorum: bool,
    ) -> BTreeMap<LinkId, Heartbeat> {
        self.finished |= has_quorum || now >= self.deadline;
        if self.finished {
            return std::mem::take(&mut self.waiting);
        }
        BTreeMap::new()
    }
}
