//! The owner's part of repair, as the control node does it: standby machines become learners, lost voters
//! are removed, learners are promoted.

use millford_core::{Duration, NodeId};
use millford_replication::{ReplicaStatus, VoterChange};

use super::simulation::Simulation;

/// A voter that was unresponsive for this long counts as lost when a standby is ready.
const REPLACE_AFTER: Duration = Duration::from_millis(1500);
/// Longest time that the leader may still count on a disk that is lost: the age of a contact that a
/// change accepts, and a reply in transit.
const RECENT_LOSS: Duration = Duration::from_millis(500);

impl Simulation {
    /// One step of repair on every replica that believes to lead.
    pub(crate) fn repair(&mut self, desired_voters: usize) {
        if self.has_recent_loss() {
            return;
        }
        for leader in self.leaders() {
            let Some(replica) = self.replica(leader) else {
                continue;
            };
            let status = replica.status();
            let Some(change) = self.desired_change(&status, desired_voters) else {
                continue;
            };
            if let Some(replica) = self.replica(leader) {
                // Refused when an earlier change is not committed; tried again later.
                let _ = replica.change_voters(change);
            }
        }
    }

    fn desired_change(&self, status: &ReplicaStatus, desired: usize) -> Option<VoterChange> {
        let unresponsive = status
            .peers
            .iter()
            .filter(|peer| self.now.since(peer.last_contact) >= REPLACE_AFTER);
        // Learners first: one that never catches up must not block a standby.
        let lost = unresponsive.min_by_key(|peer| peer.is_voter);
        if let Some(learner) = lost.filter(|peer| !peer.is_voter) {
            return Some(VoterChange::Remove(learner.node));
        }
        if status.voters.len() > desired {
            let any = status.peers.iter().find(|peer| peer.is_voter);
            return lost.or(any).map(|peer| VoterChange::Remove(peer.node));
        }
        if lost.is_none() && status.voters.len() == desired {
            return None;
        }
        let ready = status
            .peers
            .iter()
            .find(|peer| !peer.is_voter && peer.caught_up);
        let removed_first =
            lost.filter(|_| self.removes_before_promotion && status.voters.len() == desired);
        match (ready, removed_first) {
            (Some(_), Some(lost)) => Some(VoterChange::Remove(lost.node)),
            (Some(ready), None) => Some(VoterChange::Promote(ready.node)),
            _ if status.learners.is_empty() => self.standby(status).map(VoterChange::AddLearner),
            _ => None,
        }
    }

    /// Whether a disk was lost so lately that the leader may still count on it. A change that is
    /// made then, when the group is at the limit of what it tolerates, can end it: this is the limit
    /// of changes by one voter, and the runs stay within it.
    pub(crate) fn has_recent_loss(&self) -> bool {
        let latest = self.lost_voter_sets.last().map(|(at, _)| *at);
        latest.is_some_and(|at| self.now.since(at) < RECENT_LOSS)
    }

    /// A running machine outside the group.
    fn standby(&self, status: &ReplicaStatus) -> Option<NodeId> {
        let is_outside =
            |node: &NodeId| !status.voters.contains(node) && !status.learners.contains(node);
        let running = self
            .machines
            .values()
            .filter(|machine| machine.is_running(self.now));
        running.map(|machine| machine.node).find(is_outside)
    }
}
