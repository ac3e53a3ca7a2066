//! What a replica reports of itself to its owner.

use millford_storage::ReplicaStorage;

use crate::role::RoleState;
use crate::{PeerStatus, Replica, ReplicaStatus, Role};

impl Replica {
    /// Role; cheaper than the whole status.
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

    /// Term; cheaper than the whole status.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether this replica leads and has committed an entry of its own term; cheaper than the whole
    /// status.
    #[must_use]
    pub fn leads_confirmed(&self) -> bool {
        self.has_committed_own_term()
    }

    /// Durable state of the replica.
    #[must_use]
    pub fn storage(&self) -> &ReplicaStorage {
        &self.storage
    }

    /// What the replica knows of itself and its group.
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

    /// Reported by a voter, or known from the own committed log. A learner whose first snapshot is
    /// older than its addition was no member yet, so it does not count as removed.
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
