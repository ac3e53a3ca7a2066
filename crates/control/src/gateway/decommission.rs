//! Decommissioning of an identity that the cluster removed.

use std::collections::BTreeSet;

use millford_api::internal::ShardStatus;
use millford_core::{Duration, MonotonicTime, NodeId, ShardId};

use super::links::LinkTable;
use super::replica_table::ReplicaTable;

/// Longest time that a removed node keeps replicas that a group may still need.
const DECOMMISSION_TIMEOUT: Duration = Duration::from_secs(30);

/// Shortest time that a removed node keeps replicas that are still voters, so that its links and
/// replica statuses are current when it decides.
const DECOMMISSION_MIN_DELAY: Duration = Duration::from_secs(2);

/// Interval between two requests for the status of a shard that may still need this node's replica.
const STATUS_PERIOD: Duration = Duration::from_millis(500);

/// A removed identity whose replicas a group may still need.
#[derive(Debug)]
pub(super) struct Decommission {
    started_at: MonotonicTime,
    next_status_requests: MonotonicTime,
    /// Shards whose leader does not list this identity as a voter or learner.
    released: BTreeSet<ShardId>,
}

impl Decommission {
    /// Starts decommissioning after the cluster removed this node's identity.
    pub(super) fn start(now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            next_status_requests: now,
            released: BTreeSet::new(),
        }
    }

    /// Returns the shards whose leaders to ask for their status now.
    ///
    /// A replica that was out of touch knows neither that its group removed it nor the voters that the group has now.
    pub(super) fn take_status_requests(
        &mut self,
        now: MonotonicTime,
        replicas: &ReplicaTable,
    ) -> Vec<ShardId> {
        if now < self.next_status_requests {
            return Vec::new();
        }
        self.next_status_requests = now + STATUS_PERIOD;
        let held = replicas.shards().into_iter();
        held.filter(|shard| !self.released.contains(shard))
            .collect()
    }

    /// Records the status that a shard's leader reported.
    ///
    /// Safety: the leader answers only after its quorum has confirmed it, so a group that does not list this identity
    /// commits without it. Were that change of voters lost, dropping the replica would count as the loss of one more
    /// node and no more, since the next identity has no vote.
    pub(super) fn record_status(&mut self, own: NodeId, status: &ShardStatus) {
        let mut members = status.voters.iter().chain(&status.learners);
        let has_leader = NodeId(status.leader).is_some();
        if has_leader && !members.any(|member| NodeId(*member) == own) {
            self.released.insert(ShardId(status.shard));
        }
    }

    /// Whether the node may start over under a new identity.
    pub(super) fn is_complete(
        &self,
        now: MonotonicTime,
        own: NodeId,
        replicas: &ReplicaTable,
        links: &LinkTable,
    ) -> bool {
        let waited = now.since(self.started_at);
        let mut held = replicas.statuses().iter();
        let all_removed =
            held.all(|(shard, replica)| replica.removed || self.released.contains(shard));
        let not_needed = waited >= DECOMMISSION_MIN_DELAY && is_dispensable(own, replicas, links);
        all_removed || not_needed || waited >= DECOMMISSION_TIMEOUT
    }
}

/// Whether every group has its quorum without this node.
///
/// A replica that was partitioned while its group removed it does not receive that change and still
/// counts itself as a voter. Such a replica may be dropped while all other voters are connected:
/// its group then adds this node's next identity instead, which it cannot do while this identity
/// remains.
fn is_dispensable(own: NodeId, replicas: &ReplicaTable, links: &LinkTable) -> bool {
    let mut statuses = replicas.iter();
    statuses.all(|replica| {
        let votes = replica.voters.contains(&own);
        let mut others = replica.voters.iter().filter(|voter| **voter != own);
        !votes || others.all(|voter| links.to_node(*voter).is_some())
    })
}
