//! Becoming leader, checking for a quorum, stepping down (Raft thesis, sections 6.2 and 6.4).

use millford_api::replication::{Empty, log_entry::Payload};
use millford_core::{Duration, MonotonicTime, NodeId};

use crate::Replica;
use crate::configuration::Configuration;
use crate::leader_state::LeaderState;
use crate::progress::Progress;
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

    /// Becomes leader and appends an empty entry of the new term: entries of earlier terms are
    /// known to be committed only once that entry is.
    pub(crate) fn become_leader(&mut self) {
        let next_index = self.storage.last_index() + 1;
        let mut state = LeaderState::new(next_index, self.now);
        let configuration = self.configurations.latest();
        state.align_peers(configuration, self.options.node, next_index, self.now);
        self.role = RoleState::Leader(Box::new(state));
        self.leader = self.options.node;
        self.removed = false;
        self.pending.became_leader = true;
        self.incoming_snapshot = None;
        self.append_own(Payload::Empty(Empty {}));
    }

    /// Becomes a follower of the current term without a known leader.
    pub(crate) fn step_down(&mut self) {
        let previous = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(state) = previous {
            self.election_timer.backoff.record_failed_election();
            self.pending.lost_leadership = true;
            let unconfirmed = state.reads.into_requests();
            self.pending.failed_reads.extend(unconfirmed);
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

    /// Steps down without recent contact with a quorum: the other replicas may have elected another
    /// leader, and clients should not wait for this one. Called before each message is processed,
    /// so that replies that were queued while the process was stalled do not count as recent.
    pub(crate) fn check_quorum(&mut self) {
        // The first replies to a new leader take as long as the messages of its election did, so
        // the election backoff applies here too.
        let quorum_timeout = self.options.timing.quorum_timeout;
        let timeout = self.election_timer.backoff.adjust_timeout(quorum_timeout);
        if self.is_leader() && !self.has_quorum_contact(self.configurations.latest(), timeout) {
            self.step_down();
        }
    }

    /// Whether a quorum of a configuration, counting this replica, was in contact within `max_age`.
    pub(crate) fn has_quorum_contact(
        &self,
        configuration: &Configuration,
        max_age: Duration,
    ) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        configuration.is_quorum(|voter| {
            let peer = state.peers.get(&voter);
            let has_contact =
                peer.is_some_and(|peer| self.now.since(peer.last_contact()) < max_age);
            voter == self.options.node || has_contact
        })
    }

    /// On a leader: the earliest of the last contacts within the most recently contacted quorum,
    /// counting this replica as in contact now. `None` on other replicas.
    pub(crate) fn last_quorum_contact(&self) -> Option<MonotonicTime> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let micros = self.configurations.latest().quorum_value(|voter| {
            let peer = state.peers.get(&voter);
            let contact = peer.map_or(self.now, Progress::last_contact);
            contact.as_micros()
        });
        Some(MonotonicTime::from_micros(micros))
    }

    /// Records on a leader that a peer replied in the current term.
    pub(crate) fn record_contact(&mut self, from: NodeId) {
        let now = self.now;
        let state = self.leader_state();
        if let Some(peer) = state.and_then(|state| state.peers.get_mut(&from)) {
            peer.record_contact(now);
        }
    }
}
