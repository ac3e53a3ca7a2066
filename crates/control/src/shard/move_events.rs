//! The placer's moves as events for the log, bounded.

use std::collections::{BTreeMap, BTreeSet};

use millford_placement::{Move, MoveReason, ReplicaKey};

use crate::node_event::NodeEvent;

/// Most moves of one plan that are named one by one; the rest are counted.
const MAX_NAMED_MOVES: usize = 8;

/// What each pool's last plan said, so that a move that is deferred for long is reported once.
#[derive(Debug, Default)]
pub struct MoveEvents {
    reported: BTreeMap<String, BTreeSet<(ReplicaKey, MoveReason)>>,
}

impl MoveEvents {
    /// Events for what a plan says and the pool's plan before it did not say.
    pub fn of_plan(&mut self, pool: &str, moves: &[Move]) -> Vec<NodeEvent> {
        let present: BTreeSet<(ReplicaKey, MoveReason)> = moves
            .iter()
            .map(|step| (step.replica.clone(), step.reason))
            .collect();
        let before = self.reported.insert(pool.to_owned(), present.clone());
        let before = before.unwrap_or_default();
        let fresh: Vec<&(ReplicaKey, MoveReason)> = present.difference(&before).collect();
        let named = fresh.iter().take(MAX_NAMED_MOVES);
        let mut events: Vec<NodeEvent> = named
            .map(|(replica, reason)| NodeEvent::Placement {
                pool: pool.to_owned(),
                replica: replica.to_string(),
                reason: *reason,
            })
            .collect();
        let more = fresh.len().saturating_sub(MAX_NAMED_MOVES);
        if more > 0 {
            events.push(NodeEvent::MorePlacements {
                pool: pool.to_owned(),
                more,
            });
        }
        events
    }

    /// Drops the pools that are not this shard's any more.
    pub fn retain(&mut self, is_owned: impl Fn(&String) -> bool) {
        self.reported.retain(|pool, _| is_owned(pool));
    }
}
