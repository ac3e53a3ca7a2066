//! Spreads the leaderships of shards over the nodes.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime, NodeId, ShardId};

use super::Gateway;
use crate::shard::ShardInput;

/// Period of the check. Longer than an election, so that one handover is seen before the next.
const BALANCE_PERIOD: Duration = Duration::from_secs(5);

/// How long leaderships must have stayed as they are. A handover costs the shard's quotas a short
/// wait, so none follows a disturbance at once.
const BALANCE_AFTER: Duration = Duration::from_secs(15);

/// A node hands over when it leads at least this many shards more than another.
const SURPLUS: usize = 2;

/// When leaderships changed last, and when they are looked at next.
#[derive(Debug)]
pub struct Balance {
    leaders: BTreeMap<ShardId, NodeId>,
    changed: MonotonicTime,
    next_check: MonotonicTime,
}

impl Balance {
    /// Nothing seen yet.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            leaders: BTreeMap::new(),
            changed: now,
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
            .standings
            .iter()
            .map(|(shard, standing)| (*shard, standing.leader))
            .collect();
        if leaders != self.balance.leaders {
            self.balance.leaders = leaders;
            self.balance.changed = now;
            return;
        }
        if now.since(self.balance.changed) < BALANCE_AFTER || self.leaving.is_some() {
            return;
        }
        if let Some((shard, to)) = self.handover() {
            self.tell_shard(shard, ShardInput::HandOver { to });
        }
    }

    /// A shard that this node leads, and the voter that leads the fewest.
    fn handover(&self) -> Option<(ShardId, NodeId)> {
        let own = self.file.identity();
        let led_by = |node: NodeId| {
            let leaders = self.balance.leaders.values();
            leaders.filter(|leader| **leader == node).count()
        };
        let led = self.standings.values().filter(|standing| standing.leads);
        let moves = led.flat_map(|standing| {
            let voters = standing.voters.iter();
            voters.map(move |voter| (standing.shard, *voter))
        });
        let moves = moves.filter(|(_, voter)| self.view.get(*voter).connected);
        let (shard, voter) = moves.min_by_key(|(shard, voter)| (led_by(*voter), *shard))?;
        let surplus = led_by(own) >= led_by(voter) + SURPLUS;
        (voter != own && surplus).then_some((shard, voter))
    }
}
