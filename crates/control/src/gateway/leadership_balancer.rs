//! Spreads the leaderships of shards over the nodes.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime, NodeId, ShardId};

use super::replica_table::ReplicaTable;

/// Period of the check. Longer than an election, so that the effect of one transfer is visible
/// before the next.
const BALANCE_PERIOD: Duration = Duration::from_secs(5);

/// Time without a change of leaders before a transfer. A transfer delays the shard's quota grants
/// for a short time, so none is made right after a disturbance.
const STABLE_BEFORE_BALANCE: Duration = Duration::from_secs(15);

/// A node transfers a leadership when it leads at least this many shards more than another.
const MIN_SURPLUS: usize = 2;

/// A leadership to be transferred to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeadershipTransfer {
    /// The shard that this node leads.
    pub(super) shard: ShardId,
    /// The voter to become its leader.
    pub(super) to: NodeId,
}

/// The leaders as last checked, the time of their last change, and the time of the next check.
#[derive(Debug)]
pub(super) struct LeadershipBalancer {
    leaders: BTreeMap<ShardId, NodeId>,
    changed_at: MonotonicTime,
    next_check: MonotonicTime,
}

impl LeadershipBalancer {
    /// Creates a balancer without any recorded leader.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            leaders: BTreeMap::new(),
            changed_at: now,
            next_check: now,
        }
    }

    /// The leadership to transfer now, if this node leads at least [`MIN_SURPLUS`] shards more than
    /// another.
    pub(super) fn next_transfer(
        &mut self,
        now: MonotonicTime,
        own: NodeId,
        replicas: &ReplicaTable,
        is_connected: impl Fn(NodeId) -> bool,
    ) -> Option<LeadershipTransfer> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + BALANCE_PERIOD;
        let statuses = replicas.iter();
        let leaders: BTreeMap<ShardId, NodeId> = statuses
            .map(|replica| (replica.shard, replica.leader))
            .collect();
        if leaders != self.leaders {
            self.leaders = leaders;
            self.changed_at = now;
            return None;
        }
        if now.since(self.changed_at) < STABLE_BEFORE_BALANCE {
            return None;
        }
        self.choose(own, replicas, is_connected)
    }

    /// Chooses a shard that this node leads and the connected voter that leads the fewest shards.
    fn choose(
        &self,
        own: NodeId,
        replicas: &ReplicaTable,
        is_connected: impl Fn(NodeId) -> bool,
    ) -> Option<LeadershipTransfer> {
        let led_by = |node: NodeId| {
            let leaders = self.leaders.values();
            leaders.filter(|leader| **leader == node).count()
        };
        let led = replicas.iter().filter(|replica| replica.leads);
        let transfers = led.flat_map(|replica| {
            let voters = replica.voters.iter();
            voters.map(move |voter| LeadershipTransfer {
                shard: replica.shard,
                to: *voter,
            })
        });
        let transfers = transfers.filter(|transfer| is_connected(transfer.to));
        let transfer = transfers.min_by_key(|transfer| (led_by(transfer.to), transfer.shard))?;
        let surplus = led_by(own) >= led_by(transfer.to) + MIN_SURPLUS;
        (transfer.to != own && surplus).then_some(transfer)
    }
}
