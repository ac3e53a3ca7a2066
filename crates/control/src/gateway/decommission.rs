//! Decommissioning of an identity that the cluster removed.

use millford_core::{Duration, MonotonicTime, NodeId};

use super::links::LinkTable;
use super::replica_table::ReplicaTable;

/// Longest time that a removed node keeps replicas that a group may still need.
const DECOMMISSION_TIMEOUT: Duration = Duration::from_secs(30);

/// Shortest time that a removed node keeps replicas that are still voters, so that its links and
/// replica statuses are current when it decides.
const DECOMMISSION_MIN_DELAY: Duration = Duration::from_secs(2);

/// A removed identity whose replicas a group may still need.
#[derive(Debug)]
pub(super) struct Decommission {
    started_at: MonotonicTime,
}

impl Decommission {
    /// Starts decommissioning after the cluster removed this node's identity.
    pub(super) fn start(now: MonotonicTime) -> Self {
        Self { started_at: now }
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
        let all_removed = replicas.iter().all(|replica| replica.removed);
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
