//! Log events for the moves of a placement plan, limited in number.

use std::collections::{BTreeMap, BTreeSet};

use millford_placement::{Move, MoveReason, ReplicaKey};

use crate::node_event::NodeEvent;

/// Most moves of one plan that get an event of their own; the rest are counted in one event.
const MAX_NAMED_MOVES: usize = 8;

/// The moves of each pool's last plan, so that a move that stays deferred is reported only once.
#[derive(Debug, Default)]
pub struct MoveEvents {
    reported: BTreeMap<String, BTreeSet<(ReplicaKey, MoveReason)>>,
}

impl MoveEvents {
    /// Returns events for the moves that the pool's previous plan did not contain.
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

    /// Forgets the pools that this shard no longer owns.
    pub fn retain(&mut self, is_owned: impl Fn(&String) -> bool) {
        self.reported.retain(|pool, _| is_owned(pool));
    }
}
