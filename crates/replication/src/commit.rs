//! Advancing a leader's commit index (Raft thesis, section 3.6.2).

use millford_api::replication::{TimeoutNow, replication_message::Body};
use millford_core::NodeId;

use crate::Replica;
use crate::progress::Progress;
use crate::role::RoleState;

impl Replica {
    /// Advances the commit index to the highest index that is durable on a quorum. For this replica
    /// the synced index counts.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let own = self.options.node;
        let synced_index = self.storage.synced_index();
        let quorum_index = self.configurations.latest().quorum_value(|voter| {
            if voter == own {
                return synced_index;
            }
            state.peers.get(&voter).map_or(0, Progress::match_index)
        });
        // An entry of an earlier term can still be replaced by a later leader although a quorum
        // holds it. It is committed only together with an entry of the leader's own term.
        let is_own_term = self.storage.term_at(quorum_index) == Some(self.term);
        if quorum_index > self.commit_index && is_own_term {
            self.commit_index = quorum_index;
        }
    }

    /// Whether the leader has committed an entry of its own term.
    pub(crate) fn has_committed_own_term(&self) -> bool {
        match &self.role {
            RoleState::Leader(state) => self.commit_index >= state.term_start_index,
            _ => false,
        }
    }

    /// Transfers the leadership and steps down once this leader's own removal is committed.
    pub(crate) fn step_down_if_removed(&mut self) {
        let is_committed = self.configurations.latest_index() <= self.commit_index;
        if !self.is_leader() || self.is_voter() || !is_committed {
            return;
        }
        if let Some(successor) = self.most_up_to_date_voter() {
            self.send(successor, Body::TimeoutNow(TimeoutNow {}));
        }
        self.step_down();
    }

    fn most_up_to_date_voter(&self) -> Option<NodeId> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let configuration = self.configurations.latest();
        let voters = state
            .peers
            .iter()
            .filter(|(node, _)| configuration.is_voter(**node));
        let best = voters.max_by_key(|(_, peer)| (peer.match_index(), peer.last_contact()));
        best.map(|(node, _)| *node)
    }
}
