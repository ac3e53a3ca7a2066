//! The flush: stores all input with one fsync of the log, then returns the messages and results
//! that depend on it.

use millford_api::replication::{HardState, LogEntry};
use millford_core::MonotonicTime;
use millford_storage::StorageError;

use crate::options::FULL_DISK_CAMPAIGN_BACKOFF;
use crate::{Ready, Replica};

impl Replica {
    /// Makes all input since the last flush durable, then returns the messages to send and the
    /// results for the owner.
    ///
    /// # Errors
    /// An error is final: the replica must be dropped, and its last writes may be durable or not. A
    /// full disk is not an error: see [`Ready::storage_full`].
    pub fn flush(&mut self, now: MonotonicTime) -> Result<Ready, StorageError> {
        self.advance_clock(now);
        self.check_not_failed()?;
        // Term and vote first: no message of a term may be sent before they are durable, and
        // recovery treats a log without a hard state as corruption.
        let stored = self.store_hard_state().and_then(|()| self.storage.sync());
        if let Err(error) = stored {
            self.record_storage_error(error);
        }
        self.check_not_failed()?;
        if self.pending.storage_full {
            self.discard_unsynced();
        }
        self.advance_leader();
        Ok(self.take_ready())
    }

    /// Returns the earlier storage error that made the replica unusable, if any.
    pub(crate) fn check_not_failed(&self) -> Result<(), StorageError> {
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

    /// Records an error of the storage: a full disk is temporary, any other error is final.
    pub(crate) fn record_storage_error(&mut self, error: StorageError) {
        if error.is_full() {
            self.pending.storage_full = true;
        } else {
            self.fail(error);
        }
    }

    /// Makes the replica unusable; each flush from now on returns the error.
    pub(crate) fn fail(&mut self, error: StorageError) {
        self.failure = Some(error);
    }

    /// Discards all input since the last flush after a write failed for lack of space: entries that
    /// were not stored must not be acknowledged or counted. The replica stops leading; entries that
    /// it acknowledged earlier remain on its disk.
    fn discard_unsynced(&mut self) {
        self.storage.drop_unsynced();
        let last_index = self.storage.last_index();
        self.configurations.truncate_from(last_index + 1);
        self.commit_index = self.commit_index.min(last_index);
        self.pending.messages.clear();
        self.step_down();
        self.disk_full_until = Some(self.now + FULL_DISK_CAMPAIGN_BACKOFF);
    }

    /// Advances commits, reads, transfers and replication on a leader. Called after the sync, so
    /// that only durable entries count.
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
