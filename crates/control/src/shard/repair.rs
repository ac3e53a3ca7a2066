//! Policy for the replacement of lost voters, applied by the shard's leader.

use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::VoterChange;

use super::members::{Departure, MemberView};

/// One replica, as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// The node that holds the replica.
    pub node: NodeId,
    /// Time of its last message to the leader; the leader's election if there was none since.
    pub last_contact: MonotonicTime,
    /// Whether it was in contact recently and lacks few enough committed entries to be promoted;
    /// see [`millford_replication::PeerStatus::caught_up`]. Always true for the leader itself.
    pub caught_up: bool,
}

/// The replicas of a shard, the leader itself among the voters.
#[derive(Clone, Debug, Default)]
pub struct GroupView {
    /// Replicas with a vote.
    pub voters: Vec<ReplicaView>,
    /// Replicas that receive entries but have no vote.
    pub learners: Vec<ReplicaView>,
}

/// One membership change of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Add this node without a vote, so that it catches up.
    AddLearner(NodeId),
    /// Remove this replica from the group.
    Remove(NodeId),
    /// Give this learner a vote.
    Promote(NodeId),
}

impl RepairStep {
    /// The step as a change for the consensus replica.
    #[must_use]
    pub fn voter_change(self) -> VoterChange {
        match self {
            Self::AddLearner(node) => VoterChange::AddLearner(node),
            Self::Remove(node) => VoterChange::Remove(node),
            Self::Promote(node) => VoterChange::Promote(node),
        }
    }

    /// Name of the step, for the log.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::AddLearner(_) => "add learner",
            Self::Remove(_) => "remove",
            Self::Promote(_) => "promote",
        }
    }

    /// The node to be added, removed or promoted.
    #[must_use]
    pub fn node(self) -> NodeId {
        match self {
            Self::AddLearner(node) | Self::Remove(node) | Self::Promote(node) => node,
        }
    }
}

/// Decides membership changes, one at a time.
///
/// The standby first catches up as a learner, then the lost voter is removed, then the learner is
/// promoted. So a replica gets a vote only when it lacks at most a few committed entries, and the
/// new quorum does not have to wait for its catch-up.
#[derive(Clone, Copy, Debug)]
pub struct RepairPolicy {
    /// Time without contact after which a replica counts as lost.
    pub replace_after: Duration,
    /// Number of voters of a complete group.
    pub voters: usize,
}

impl RepairPolicy {
    /// Decides the next step; none if the group is complete or cannot be repaired now.
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
        // Without a lost voter, the voter that the learner was to replace has returned, and the
        // learner itself is removed.
        Some(RepairStep::Remove(lost.unwrap_or(learner.node)))
    }

    fn is_lost(&self, now: MonotonicTime, replica: &ReplicaView, members: &MemberView) -> bool {
        let unresponsive = now.since(replica.last_contact) >= self.replace_after;
        unresponsive || members.get(replica.node).departure != Departure::None
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
