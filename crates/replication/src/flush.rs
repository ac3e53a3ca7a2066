//! The flush: one fsync, then everything that may leave because of it.

use millford_api::replication::{HardState, LogEntry};
use millford_core::MonotonicTime;
use millford_storage::{SnapshotMeta, StorageError};

use crate::options::FULL_DISK_PAUSE;
use crate::progress::SendState;
use crate::role::RoleState;
use crate::{PeerStatus, Ready, Replica, ReplicaStatus, Role, SnapshotRefused};

impl Replica {
    /// Makes durable what came in since the last flush, then returns what may leave.
    ///
    /// An error is final: the replica must be dropped, and whether its last writes are durable is
    /// unknown. A full disk is no error: see [`Ready::storage_full`].
    pub fn flush(&mut self, now: MonotonicTime) -> Result<Ready, StorageError> {
        self.advance_clock(now);
        if let Some(error) = &self.failure {
            return Err(error.clone());
        }
        let stored = self.store_hard_state().and_then(|()| self.storage.sync());
        if let Err(error) = stored {
            self.note_storage_error(error);
        }
        if let Some(error) = &self.failure {
            return Err(error.clone());
        }
        if self.storage_full {
            self.give_up_unsynced();
        }
        self.lead();
        Ok(self.take_ready())
    }

    /// Stores term and vote if they changed.
    pub(crate) fn store_hard_state(&mut self) -> Result<(), StorageError> {
        let hard_state = HardState {
            term: self.term,
            voted_for: self.voted_for.0,
            node: self.options.node.0,
        };
        if self.storage.hard_state() == Some(hard_state) {
            return Ok(());
        }
        self.storage.set_hard_state(hard_state)
    }

    /// Notes an error of the storage: a full disk passes, anything else is final.
    pub(crate) fn note_storage_error(&mut self, error: StorageError) {
        if error.is_full() {
            self.storage_full = true;
        } else {
            self.fail(error);
        }
    }

    /// The replica is dead; the next flush returns the error.
    pub(crate) fn fail(&mut self, error: StorageError) {
        self.failure = Some(error);
    }

    /// After a write that found no space: nothing that was not stored may leave or count. The
    /// replica stops leading, and what it had acknowledged before stays on its disk.
    fn give_up_unsynced(&mut self) {
        self.storage.drop_unsynced();
        let last_index = self.storage.last_index();
        self.configurations.truncate_from(last_index + 1);
        self.commit_index = self.commit_index.min(last_index);
        self.outbox.clear();
        self.confirmed_reads.clear();
        self.step_down();
        self.full_until = Some(self.now + FULL_DISK_PAUSE);
    }

    /// Work of a leader after the sync.
    fn lead(&mut self) {
        if !self.is_leader() {
            return;
        }
        self.advance_commit();
        self.begin_read_round();
        self.confirm_reads();
        self.advance_transfer();
        self.send_to_peers();
        self.leave_if_removed();
    }

    fn take_ready(&mut self) -> Ready {
        Ready {
            restored: self.restored.take(),
            committed: self.take_committed(),
            messages: std::mem::take(&mut self.outbox),
            confirmed_reads: std::mem::take(&mut self.confirmed_reads),
            failed_reads: std::mem::take(&mut self.failed_reads),
            became_leader: std::mem::take(&mut self.became_leader),
            lost_leadership: std::mem::take(&mut self.lost_leadership),
            storage_full: std::mem::take(&mut self.storage_full),
        }
    }

    fn take_committed(&mut self) -> Vec<LogEntry> {
        let from = self.delivered_index + 1;
        let committed = self.storage.entries(from, self.commit_index, usize::MAX);
        self.delivered_index += committed.len() as u64;
        committed
    }

    /// Stores a snapshot of the owner's state, which has applied everything up to `applied_index`,
    /// and compacts the log behind it.
    pub fn save_snapshot(
        &mut self,
        applied_index: u64,
        data: Vec<u8>,
    ) -> Result<(), SnapshotRefused> {
        if let Some(error) = &self.failure {
            return Err(error.clone().into());
        }
        if applied_index > self.delivered_index {
            return Err(SnapshotRefused::NotDelivered);
        }
        let newest = self.snapshot_index();
        let term = self.storage.term_at(applied_index);
        let Some(term) = term.filter(|_| applied_index > newest) else {
            return Err(SnapshotRefused::Outdated);
        };
        let as_of = self.configurations.as_of(applied_index);
        let meta = SnapshotMeta {
            index: applied_index,
            term,
            voters: (&as_of.configuration).into(),
        };
        if let Err(error) = self.storage.save_snapshot(meta, data) {
            if !error.is_full() {
                self.fail(error.clone());
            }
            return Err(error.into());
        }
        self.configurations.compact(applied_index);
        Ok(())
    }

    fn snapshot_index(&self) -> u64 {
        let snapshot = self.storage.snapshot();
        snapshot.map_or(0, |snapshot| snapshot.meta.index)
    }

    /// What the replica knows of itself and its group.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let configuration = self.configurations.latest();
        ReplicaStatus {
            role: self.public_role(),
            term: self.term,
            leader: self.leader,
            leader_heard: self.quorum_heard().or(self.leader_heard),
            commit_index: self.commit_index,
            last_index: self.storage.last_index(),
            snapshot_index: self.snapshot_index(),
            log_bytes: self.storage.log_bytes(),
            voters: configuration.voters.iter().copied().collect(),
            learners: configuration.learners.iter().copied().collect(),
            configuration_committed: self.configurations.latest_index() <= self.commit_index,
            removed: self.is_removed(),
            leads_confirmed: self.has_committed_own_term(),
            peers: self.peer_statuses(),
        }
    }

    fn public_role(&self) -> Role {
        match &self.role {
            RoleState::Leader(_) => Role::Leader,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::PreCandidate(_) => Role::PreCandidate,
            RoleState::Follower if self.is_voter() => Role::Follower,
            RoleState::Follower => Role::Learner,
        }
    }

    /// Told so by a voter, or known from the own committed log. A learner whose first snapshot is
    /// older than its addition was no member yet, so it is not taken for removed.
    fn is_removed(&self) -> bool {
        let node = self.options.node;
        let committed = &self.configurations.as_of(self.commit_index).configuration;
        let is_out = !committed.contains(node) && !self.configurations.latest().contains(node);
        self.removed || is_out && self.configurations.ever_contained(node)
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
            match_index: peer.match_index,
            last_heard: peer.last_heard,
            caught_up: self.is_caught_up(peer),
            receives_snapshot: matches!(peer.state, SendState::Snapshot(_)),
        });
        statuses.collect()
    }
}
