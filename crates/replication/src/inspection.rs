//! Read access to a replica's state for its owner.

use millford_storage::ReplicaStorage;

use crate::role::RoleState;
use crate::{PeerStatus, Replica, ReplicaStatus, Role};

impl Replica {
    /// Current role. Cheaper than [`Replica::status`].
    #[must_use]
    pub fn role(&self) -> Role {
        match &self.role {
            RoleState::Leader(_) => Role::Leader,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::PreCandidate(_) => Role::PreCandidate,
            RoleState::Follower if self.is_voter() => Role::Follower,
            RoleState::Follower => Role::Learner,
        }
    }

    /// Current term, which may be newer than the stored one until the next flush. Cheaper than
    /// [`Replica::status`].
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether this replica leads and has committed an entry of its own term. Cheaper than
    /// [`Replica::status`].
    #[must_use]
    pub fn leads_confirmed(&self) -> bool {
        self.has_committed_own_term()
    }

    /// Log, snapshot and hard state, for reading.
    #[must_use]
    pub fn storage(&self) -> &ReplicaStorage {
        &self.storage
    }

    /// Returns a copy of the replica's state and of its view of the group.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let configuration = self.configurations.latest();
        ReplicaStatus {
            role: self.role(),
            term: self.term,
            leader: self.leader,
            leader_contact: self.last_quorum_contact().or(self.leader_contact),
            commit_index: self.commit_index,
            last_index: self.storage.last_index(),
            snapshot_index: self.snapshot_index(),
            log_bytes: self.storage.log_bytes(),
            voters: configuration.voters.iter().copied().collect(),
            learners: configuration.learners.iter().copied().collect(),
            configuration_committed: self.configurations.latest_index() <= self.commit_index,
            removed: self.is_removed(),
            storage_full: self.disk_full_until.is_some_and(|until| self.now < until),
            leads_confirmed: self.has_committed_own_term(),
            peers: self.peer_statuses(),
        }
    }

    /// Whether this replica was removed from the group, as reported by a voter or as found in its
    /// own committed log. A learner whose first snapshot predates its addition appears in no
    /// configuration yet; it does not count as removed.
    fn is_removed(&self) -> bool {
        let node = self.options.node;
        let committed = &self.configurations.as_of(self.commit_index).configuration;
        let is_outside = !committed.contains(node) && !self.configurations.latest().contains(node);
        self.removed || is_outside && self.configurations.ever_contained(node)
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let RoleState::Leader(state) = &self.role else {
            return Vec::new();
        };
        let configuration = self.configurations.latest();
        let peers = state.peers.iter();
        let statuses = peers.map(|(node, peer)| PeerStatus {
            node: *node,
            is_voter: configuration.is_voter(*node),
            match_index: peer.match_index(),
            last_contact: peer.last_contact(),
            caught_up: self.is_caught_up(peer),
            receives_snapshot: peer.receives_snapshot(),
        });
        statuses.collect()
    }
}
