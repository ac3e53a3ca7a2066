//! The flush: one fsync, then everything that may leave because of it.

use millford_api::replication::{HardState, LogEntry};
use millford_core::MonotonicTime;
use millford_storage::StorageError;

use crate::options::FULL_DISK_CAMPAIGN_BACKOFF;
use crate::{Ready, Replica};

impl Replica {
    /// Makes durable what came in since the last flush, then returns what may leave.
    ///
    /// # Errors
    /// An error is final: the replica must be dropped, and whether its last writes are durable is
    /// unknown. A full disk is no error: see [`Ready::storage_full`].
    pub fn flush(&mut self, now: MonotonicTime) -> Result<Ready, StorageError> {
        self.advance_clock(now);
        self.check_alive()?;
        // Term and vote first: no message of a term may leave before they are durable, and a log
        // without them counts as corruption.
        let stored = self.store_hard_state().and_then(|()| self.storage.sync());
        if let Err(error) = stored {
            self.record_storage_error(error);
        }
        self.check_alive()?;
        if self.pending.storage_full {
            self.discard_unsynced();
        }
        self.advance_leader();
        Ok(self.take_ready())
    }

    /// The error that the replica did not survive, if any.
    pub(crate) fn check_alive(&self) -> Result<(), StorageError> {
        self.failure.clone().map_or(Ok(()), Err)
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

    /// Records an error of the storage: a full disk passes, anything else is final.
    pub(crate) fn record_storage_error(&mut self, error: StorageError) {
        if error.is_full() {
            self.pending.storage_full = true;
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
    fn discard_unsynced(&mut self) {
        self.storage.drop_unsynced();
        let last_index = self.storage.last_index();
        self.configurations.truncate_from(last_index + 1);
        self.commit_index = self.commit_index.min(last_index);
        self.pending.messages.clear();
        self.step_down();
        self.disk_full_until = Some(self.now + FULL_DISK_CAMPAIGN_BACKOFF);
    }

    /// Work of a leader after the sync.
    fn advance_leader(&mut self) {
        if !self.is_leader() {
            return;
        }
        self.advance_commit();
        if self.has_committed_own_term() {
            self.election_timer.backoff.record_leader();
        }
        self.begin_read_batch();
        self.confirm_reads();
        self.advance_transfer();
        self.send_to_peers();
        self.step_down_if_removed();
    }

    fn take_ready(&mut self) -> Ready {
        let committed = self.take_committed();
        Ready {
            committed,
            ..std::mem::take(&mut self.pending)
        }
    }

    fn take_committed(&mut self) -> Vec<LogEntry> {
        let from = self.delivered_index + 1;
        let committed = self.storage.entries(from, self.commit_index, usize::MAX);
        self.delivered_index += committed.len() as u64;
        committed
    }
}
