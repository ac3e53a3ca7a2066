//! Repair of a shard's replica group and of the list of control nodes, by the shard's leader.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::{PeerStatus, ReplicaStatus};

use super::members::MemberView;
use super::repair::{GroupView, RepairPolicy, RepairStep, ReplicaView};

/// Delay before the next attempt after a refused membership change.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Holds the control nodes and the time since which each is unresponsive.
pub(super) struct GroupRepair {
    policy: RepairPolicy,
    members: MemberView,
    next_step: MonotonicTime,
    unresponsive_since: BTreeMap<NodeId, MonotonicTime>,
}

impl GroupRepair {
    /// Creates the repair state of a core that starts now.
    pub(super) fn new(policy: RepairPolicy, now: MonotonicTime) -> Self {
        Self {
            policy,
            members: MemberView::default(),
            next_step: now,
            unresponsive_since: BTreeMap::new(),
        }
    }

    /// Replaces the view of the control nodes.
    pub(super) fn set_members(&mut self, members: MemberView) {
        self.members = members;
    }

    /// Resets the timers when this replica becomes the leader.
    pub(super) fn lead(&mut self, now: MonotonicTime) {
        self.next_step = now;
        self.unresponsive_since.clear();
    }

    /// Decides the next membership change of the group. There is none until the previous change is
    /// committed.
    pub(super) fn next_step(
        &self,
        now: MonotonicTime,
        own: NodeId,
        replica: &ReplicaStatus,
    ) -> Option<RepairStep> {
        if now < self.next_step || !replica.configuration_committed {
            return None;
        }
        let group = group_of(own, replica, now);
        self.policy.decide(now, own, &group, &self.members)
    }

    /// Delays the next decision after a refused membership change.
    pub(super) fn refused(&mut self, now: MonotonicTime) {
        self.next_step = now + RETRY_DELAY;
    }

    /// Takes the control nodes to remove from the membership: those that have been unresponsive for
    /// `replace_after` and whose replica of this shard has already been replaced.
    pub(super) fn take_removable_members(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaStatus,
    ) -> Vec<NodeId> {
        let mut removable = Vec::new();
        for (node, member) in &self.members.members {
            let unresponsive = member.registered && !member.connected;
            if !unresponsive {
                self.unresponsive_since.remove(node);
                continue;
            }
            let since = *self.unresponsive_since.entry(*node).or_insert(now);
            let replaced = !replica.voters.contains(node) && !replica.learners.contains(node);
            let overdue = now.since(since) >= self.policy.replace_after;
            if replaced && overdue {
                self.unresponsive_since.remove(node);
                removable.push(*node);
            }
        }
        removable
    }
}

fn group_of(own: NodeId, replica: &ReplicaStatus, now: MonotonicTime) -> GroupView {
    let view_of = |node: &NodeId| {
        let peer = replica.peers.iter().find(|peer| peer.node == *node);
        replica_view(own, *node, peer, now)
    };
    GroupView {
        voters: replica.voters.iter().map(view_of).collect(),
        learners: replica.learners.iter().map(view_of).collect(),
    }
}

fn replica_view(
    own: NodeId,
    node: NodeId,
    peer: Option<&PeerStatus>,
    now: MonotonicTime,
) -> ReplicaView {
    ReplicaView {
        node,
        last_contact: peer.map_or(now, |peer| peer.last_contact),
        caught_up: node == own || peer.is_some_and(|peer| peer.caught_up),
    }
}
