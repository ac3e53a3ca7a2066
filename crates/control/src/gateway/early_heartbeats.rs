//! Heartbeats that came before a starting node knew whether it has a quorum.

use std::collections::BTreeMap;

use millford_api::internal::Heartbeat;
use millford_core::MonotonicTime;

use crate::link::LinkId;
use crate::timing::EARLY_HEARTBEAT_TIMEOUT;

/// Heartbeats of agents that wait for this node's first quorum.
///
/// When all nodes start at once, each is without a quorum for the length of an election. An agent
/// that is answered so tries the others in vain and then backs off, often for longer than the election.
/// A node therefore defers the first heartbeats for a moment; once it has had a quorum, or the
/// moment is over, it answers at once for as long as it runs.
#[derive(Debug)]
pub(super) struct EarlyHeartbeats {
    until: MonotonicTime,
    closed: bool,
    waiting: BTreeMap<LinkId, Heartbeat>,
}

impl EarlyHeartbeats {
    /// For a process that starts now.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            until: now + EARLY_HEARTBEAT_TIMEOUT,
            closed: false,
            waiting: BTreeMap::new(),
        }
    }

    /// Whether answers still wait for the first quorum.
    pub(super) fn is_open(&self) -> bool {
        !self.closed
    }

    /// Defers the newest heartbeat of a link.
    pub(super) fn defer(&mut self, link: LinkId, heartbeat: &Heartbeat) {
        self.waiting.insert(link, heartbeat.clone());
    }

    /// A link was closed.
    pub(super) fn forget_link(&mut self, link: LinkId) {
        self.waiting.remove(&link);
    }

    /// The heartbeats to answer now, once the node has a quorum or the time is over.
    pub(super) fn release(
        &mut self,
        now: MonotonicTime,
        has_quorum: bool,
    ) -> BTreeMap<LinkId, Heartbeat> {
        self.closed |= has_quorum || now >= self.until;
        if self.closed {
            return std::mem::take(&mut self.waiting);
        }
        BTreeMap::new()
    }
}
