//! Spreads the leaderships of shards over the nodes.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime, NodeId, ShardId};

use super::Gateway;
use crate::shard::ShardInput;

/// Period of the check. Longer than an election, so that one handover is seen before the next.
const BALANCE_PERIOD: Duration = Duration::from_secs(5);

/// How long leaderships must have stayed as they are. A handover costs the shard's quotas a short
/// wait, so none follows a disturbance at once.
const STABLE_BEFORE_BALANCE: Duration = Duration::from_secs(15);

/// A node hands over when it leads at least this many shards more than another.
const SURPLUS: usize = 2;

/// When leaderships changed last, and when they are looked at next.
#[derive(Debug)]
pub struct Balance {
    leaders: BTreeMap<ShardId, NodeId>,
    changed_at: MonotonicTime,
    next_check: MonotonicTime,
}

impl Balance {
    /// Nothing seen yet.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            leaders: BTreeMap::new(),
            changed_at: now,
            next_check: now,
        }
    }
}

impl Gateway {
    /// Hands one leadership over if this node has clearly more than another.
    pub(super) fn tick_balance(&mut self, now: MonotonicTime) {
        if now < self.balance.next_check {
            return;
        }
        self.balance.next_check = now + BALANCE_PERIOD;
        let leaders: BTreeMap<ShardId, NodeId> = self
            .replica_statuses
            .iter()
            .map(|(shard, replica)| (*shard, replica.leader))
            .collect();
        if leaders != self.balance.leaders {
            self.balance.leaders = leaders;
            self.balance.changed_at = now;
            return;
        }
        if now.since(self.balance.changed_at) < STABLE_BEFORE_BALANCE || self.decommission.is_some()
        {
            return;
        }
        if let Some((shard, to)) = self.next_transfer() {
            self.send_to_shard(shard, ShardInput::TransferLeadership { to });
        }
    }

    /// A shard that this node leads, and the voter that leads the fewest.
    fn next_transfer(&self) -> Option<(ShardId, NodeId)> {
        let own = self.file.identity();
        let led_by = |node: NodeId| {
            let leaders = self.balance.leaders.values();
            leaders.filter(|leader| **leader == node).count()
        };
        let led = self
            .replica_statuses
            .values()
            .filter(|replica| replica.leads);
        let moves = led.flat_map(|replica| {
            let voters = replica.voters.iter();
            voters.map(move |voter| (replica.shard, *voter))
        });
        let moves = moves.filter(|(_, voter)| self.view.get(*voter).connected);
        let (shard, voter) = moves.min_by_key(|(shard, voter)| (led_by(*voter), *shard))?;
        let surplus = led_by(own) >= led_by(voter) + SURPLUS;
        (voter != own && surplus).then_some((shard, voter))
    }
}
