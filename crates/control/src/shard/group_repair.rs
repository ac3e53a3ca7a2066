//! The voters of a shard's group and the list of control nodes, as the shard's leader maintains them.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::{PeerStatus, ReplicaStatus};

use super::members::MemberView;
use super::repair::{GroupView, RepairPolicy, RepairStep, ReplicaView};

/// Shortest time between a change that was refused and the next try.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Owner of what repair is decided on: the control nodes and since when each is unresponsive.
pub(super) struct GroupRepair {
    policy: RepairPolicy,
    members: MemberView,
    next_step: MonotonicTime,
    unresponsive_since: BTreeMap<NodeId, MonotonicTime>,
}

impl GroupRepair {
    /// Repair of a core that starts now.
    pub(super) fn new(policy: RepairPolicy, now: MonotonicTime) -> Self {
        Self {
            policy,
            members: MemberView::default(),
            next_step: now,
            unresponsive_since: BTreeMap::new(),
        }
    }

    /// The control nodes, as this node sees them.
    pub(super) fn set_members(&mut self, members: MemberView) {
        self.members = members;
    }

    /// The replica leads from now on.
    pub(super) fn lead(&mut self, now: MonotonicTime) {
        self.next_step = now;
        self.unresponsive_since.clear();
    }

    /// The next change of the group, one at a time: none before the last one is committed.
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

    /// The group refused the change: it is decided again a little later, on what then is.
    pub(super) fn refused(&mut self, now: MonotonicTime) {
        self.next_step = now + RETRY_DELAY;
    }

    /// The control nodes to remove from the membership: unresponsive for long, and their replica
    /// of this shard replaced already.
    pub(super) fn take_dead_members(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaStatus,
    ) -> Vec<NodeId> {
        let mut dead = Vec::new();
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
                dead.push(*node);
            }
        }
        dead
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
