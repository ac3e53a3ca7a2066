//! Replacement of lost voters, decided by the shard's leader.

use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::VoterChange;

use super::members::MemberView;

/// One replica as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// Which node.
    pub node: NodeId,
    /// When the leader heard from it last; its own election if it never did.
    pub last_contact: MonotonicTime,
    /// It holds everything that is committed.
    pub caught_up: bool,
}

/// The replicas of a shard, the leader itself among the voters.
#[derive(Clone, Debug, Default)]
pub struct GroupView {
    /// Replicas that vote.
    pub voters: Vec<ReplicaView>,
    /// Replicas that only receive.
    pub learners: Vec<ReplicaView>,
}

/// The next change of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Let this node catch up without a vote.
    AddLearner(NodeId),
    /// Take this replica out.
    Remove(NodeId),
    /// Let this learner vote.
    Promote(NodeId),
}

impl RepairStep {
    /// The change of the group's voters.
    #[must_use]
    pub fn voter_change(self) -> VoterChange {
        match self {
            Self::AddLearner(node) => VoterChange::AddLearner(node),
            Self::Remove(node) => VoterChange::Remove(node),
            Self::Promote(node) => VoterChange::Promote(node),
        }
    }

    /// The step in words, for the log.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::AddLearner(_) => "add learner",
            Self::Remove(_) => "remove",
            Self::Promote(_) => "promote",
        }
    }

    /// The node that it is about.
    #[must_use]
    pub fn node(self) -> NodeId {
        match self {
            Self::AddLearner(node) | Self::Remove(node) | Self::Promote(node) => node,
        }
    }
}

/// Decides one change at a time.
///
/// Order: the standby first catches up as a learner, then the lost voter is removed, then the learner
/// votes. So a voter counts only once it holds everything committed, and a quorum is at every
/// moment made of replicas that do.
#[derive(Clone, Copy, Debug)]
pub struct RepairPolicy {
    /// Inactivity after which a voter counts as lost.
    pub replace_after: Duration,
    /// Voters of a complete group.
    pub voters: usize,
}

impl RepairPolicy {
    /// The next step, or none when the group is complete or cannot be repaired now.
    #[must_use]
    pub fn decide(
        &self,
        now: MonotonicTime,
        own: NodeId,
        group: &GroupView,
        members: &MemberView,
    ) -> Option<RepairStep> {
        let lost = group
            .voters
            .iter()
            .find(|voter| voter.node != own && self.is_lost(now, voter, members));
        let lost = lost.map(|voter| voter.node);
        match group.learners.first() {
            Some(learner) => self.with_learner(now, learner, lost, group, members),
            None => self.without_learner(lost, group, members),
        }
    }

    fn with_learner(
        &self,
        now: MonotonicTime,
        learner: &ReplicaView,
        lost: Option<NodeId>,
        group: &GroupView,
        members: &MemberView,
    ) -> Option<RepairStep> {
        if self.is_lost(now, learner, members) {
            return Some(RepairStep::Remove(learner.node));
        }
        if !learner.caught_up {
            return None;
        }
        if group.voters.len() < self.voters {
            return Some(RepairStep::Promote(learner.node));
        }
        // A learner that is no longer needed goes: the voter it was to replace came back.
        Some(RepairStep::Remove(lost.unwrap_or(learner.node)))
    }

    fn is_lost(&self, now: MonotonicTime, replica: &ReplicaView, members: &MemberView) -> bool {
        let unresponsive = now.since(replica.last_contact) >= self.replace_after;
        unresponsive || members.get(replica.node).removed
    }

    fn without_learner(
        &self,
        lost: Option<NodeId>,
        group: &GroupView,
        members: &MemberView,
    ) -> Option<RepairStep> {
        let short = group.voters.len() < self.voters;
        if lost.is_none() && !short {
            return None;
        }
        let votes = |node: &NodeId| group.voters.iter().any(|voter| voter.node == *node);
        let standby = members.candidates().find(|node| !votes(node));
        standby.map(RepairStep::AddLearner)
    }
}
