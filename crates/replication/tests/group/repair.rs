//! Repair of a group as a control node does it: adds standby machines as learners, removes lost
//! voters and promotes learners.

use millford_core::{Duration, NodeId};
use millford_replication::{ReplicaStatus, VoterChange};

use super::simulation::Simulation;

/// Time without contact after which a voter counts as lost.
const REPLACE_AFTER: Duration = Duration::from_millis(1500);
/// Longest time for which the leader may still rely on a disk that is lost: the highest age of a
/// contact that a configuration change accepts, and the transit time of a reply.
const RECENT_LOSS: Duration = Duration::from_millis(500);

impl Simulation {
    /// Runs one step of repair on every replica in the leader role.
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
                // Rejected while an earlier change is not committed; the next step retries.
                let _ = replica.change_voters(change);
            }
        }
    }

    fn desired_change(&self, status: &ReplicaStatus, desired: usize) -> Option<VoterChange> {
        let unresponsive = status
            .peers
            .iter()
            .filter(|peer| self.now.since(peer.last_contact) >= REPLACE_AFTER);
        // Learners first: a learner that never catches up would prevent another standby from being
        // added.
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

    /// Whether a disk was lost so recently that the leader may still rely on it. In a group that
    /// tolerates no further loss, a change at that time can make the group unavailable for good.
    /// This is a limitation of single-voter changes, and the runs stay within it.
    pub(crate) fn has_recent_loss(&self) -> bool {
        let latest = self.lost_voter_sets.last().map(|(at, _)| *at);
        latest.is_some_and(|at| self.now.since(at) < RECENT_LOSS)
    }

    /// A running machine that is neither voter nor learner.
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
