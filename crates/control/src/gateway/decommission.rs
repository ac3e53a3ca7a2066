//! The end of an identity that the cluster removed.

use millford_core::{Duration, MonotonicTime, NodeId};

use super::links::LinkTable;
use super::replica_table::ReplicaTable;

/// Longest time that a removed node retains replicas that may still be counted on.
const DECOMMISSION_TIMEOUT: Duration = Duration::from_secs(30);

/// A removed node first lets its links and replica statuses come up to date.
const DECOMMISSION_MIN_DELAY: Duration = Duration::from_secs(2);

/// A removed identity, until none of its replicas is counted on any more.
#[derive(Debug)]
pub(super) struct Decommission {
    started_at: MonotonicTime,
}

impl Decommission {
    /// The cluster removed this node's identity.
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

/// Whether every group holds its quorum without this node.
///
/// A replica that was partitioned while its group removed it never learns of that. One that votes
/// still may be given up while all other voters are connected: its group takes this node's next
/// identity in its place, which it could not do for as long as this one stays.
fn is_dispensable(own: NodeId, replicas: &ReplicaTable, links: &LinkTable) -> bool {
    let mut statuses = replicas.iter();
    statuses.all(|replica| {
        let votes = replica.voters.contains(&own);
        let mut others = replica.voters.iter().filter(|voter| **voter != own);
        !votes || others.all(|voter| links.to_node(*voter).is_some())
    })
}
