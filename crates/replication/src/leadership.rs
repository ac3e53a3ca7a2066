//! Becoming leader, staying leader, stepping down.

use millford_api::replication::{Empty, log_entry::Payload};
use millford_core::{Duration, MonotonicTime, NodeId};

use crate::Replica;
use crate::configuration::Configuration;
use crate::leader_state::LeaderState;
use crate::role::RoleState;

impl Replica {
    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    pub(crate) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(state) => Some(state),
            _ => None,
        }
    }

    /// Begins to lead with an empty entry of the own term: only once it is committed are the
    /// entries of earlier terms known to be.
    pub(crate) fn become_leader(&mut self) {
        let next_index = self.storage.last_index() + 1;
        let mut state = LeaderState::new(next_index, self.now);
        let configuration = self.configurations.latest();
        state.align_peers(configuration, self.options.node, next_index, self.now);
        self.role = RoleState::Leader(Box::new(state));
        self.leader = self.options.node;
        self.removed = false;
        self.became_leader = true;
        self.incoming = None;
        self.append_own(Payload::Empty(Empty {}));
    }

    /// Becomes follower of the present term without a known leader.
    pub(crate) fn step_down(&mut self) {
        let previous = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(state) = previous {
            self.election_backoff.record_failed_election();
            self.lost_leadership = true;
            self.failed_reads.extend(state.queued_reads);
            for round in state.rounds {
                self.failed_reads.extend(round.requests);
            }
            self.reset_election_timer();
        }
        self.leader = NodeId::NONE;
    }

    pub(crate) fn tick_leader(&mut self) {
        self.check_quorum();
        let now = self.now;
        let heartbeat = self.options.timing.heartbeat;
        let Some(state) = self.leader_state() else {
            return;
        };
        state.transfer = state.transfer.filter(|transfer| now < transfer.deadline);
        if now >= state.next_heartbeat {
            state.next_heartbeat = now + heartbeat;
            state.broadcast_due = true;
        }
    }

    /// Steps down when cut off: the others may elect another leader, and nobody should wait for this
    /// one. Done before any message is taken, so that answers which waited while the process was
    /// stopped do not count as fresh.
    pub(crate) fn check_quorum(&mut self) {
        // The first answers to a new leader take as long as the election's messages took.
        let timeout = self.election_backoff.extend(self.options.timing.quorum_timeout);
        if self.is_leader() && !self.has_quorum_contact(self.configurations.latest(), timeout) {
            self.step_down();
        }
    }

    /// Whether a quorum of a configuration, this replica included, was heard from within a time.
    pub(crate) fn has_quorum_contact(&self, configuration: &Configuration, within: Duration) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        configuration.is_quorum(|voter| {
            let peer = state.peers.get(&voter);
            let hears = peer.is_some_and(|peer| self.now.since(peer.last_contact) < within);
            voter == self.options.node || hears
        })
    }

    /// On a leader: the latest time at which a quorum had been heard from since.
    pub(crate) fn quorum_contact(&self) -> Option<MonotonicTime> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let micros = self.configurations.latest().quorum_value(|voter| {
            let peer = state.peers.get(&voter);
            let heard = peer.map_or(self.now, |peer| peer.last_contact);
            heard.as_micros()
        });
        Some(MonotonicTime::from_micros(micros))
    }

    /// Notes that a replica answered in the present term.
    pub(crate) fn record_contact(&mut self, from: NodeId) {
        let now = self.now;
        let state = self.leader_state();
        if let Some(peer) = state.and_then(|state| state.peers.get_mut(&from)) {
            peer.last_contact = now;
        }
    }
}
