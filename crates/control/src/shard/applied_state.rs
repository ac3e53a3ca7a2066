//! The replicated state as far as this replica has applied it, and when it is to be compacted.

use millford_api::command::Command;
use millford_api::replication::{LogEntry, log_entry::Payload};
use millford_api::state::StateItem;
use millford_control_state::{Applied, RestoreError, ShardMachine};
use millford_core::ShardId;
use millford_replication::RestoredSnapshot;
use prost::Message;

use crate::timing::{SNAPSHOT_BYTES, SNAPSHOT_ENTRIES};

/// An applied command and what came of it.
#[derive(Debug)]
pub(super) struct AppliedCommand {
    /// The command.
    pub(super) command: Command,
    /// Its result and the public items that it changed.
    pub(super) applied: Applied,
}

/// A snapshot that is to be stored.
#[derive(Debug)]
pub(super) struct DueSnapshot {
    /// Last index that it covers.
    pub(super) index: u64,
    /// The encoded state.
    pub(super) data: Vec<u8>,
}

/// Owner of the state machine.
pub(super) struct AppliedState {
    machine: ShardMachine,
    /// Last index of the newest snapshot.
    snapshot_index: u64,
    /// Bytes of the entries that were applied since the last snapshot.
    bytes_since_snapshot: usize,
}

impl AppliedState {
    /// The empty state of a shard.
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            machine: ShardMachine::new(shard),
            snapshot_index: 0,
            bytes_since_snapshot: 0,
        }
    }

    /// The state machine.
    pub(super) fn machine(&self) -> &ShardMachine {
        &self.machine
    }

    /// The public items.
    pub(super) fn public_items(&self) -> Vec<StateItem> {
        let items = self.machine.public_state().iter();
        items
            .map(|(key, value)| StateItem {
                key: key.clone(),
                value: Some(value.clone()),
            })
            .collect()
    }

    /// Replaces the state by a snapshot. Returns the deletions of the public items that the snapshot
    /// does not hold.
    ///
    /// # Errors
    /// The snapshot cannot be read. Its bytes passed their checksum, so it is one of a newer
    /// release. The state stays as it was.
    pub(super) fn restore(
        &mut self,
        snapshot: &RestoredSnapshot,
    ) -> Result<Vec<StateItem>, RestoreError> {
        let mut machine = ShardMachine::new(self.machine.shard());
        machine.restore(&snapshot.data)?;
        machine.skip(snapshot.index, snapshot.term);
        let former = std::mem::replace(&mut self.machine, machine);
        self.snapshot_index = snapshot.index;
        let former = former.public_state().keys().cloned();
        let deleted = former
            .filter(|key| !self.machine.public_state().contains_key(key))
            .map(|key| StateItem { key, value: None });
        Ok(deleted.collect())
    }

    /// Starts again from nothing: the state is built from the snapshot and the log.
    pub(super) fn reset(&mut self) {
        self.machine = ShardMachine::new(self.machine.shard());
        self.snapshot_index = 0;
    }

    /// Applies a committed entry. Returns the command, if the entry holds one.
    pub(super) fn apply(&mut self, entry: &LogEntry) -> Option<AppliedCommand> {
        let Some(Payload::Command(bytes)) = &entry.payload else {
            self.machine.skip(entry.index, entry.term);
            return None;
        };
        self.bytes_since_snapshot += bytes.len();
        // Only commands that this code encoded get into the log; one of a newer release that
        // cannot be read changes nothing here and is refused in the same way on every replica.
        let command = Command::decode(bytes.as_slice()).unwrap_or_default();
        let applied = self.machine.apply(entry.index, entry.term, &command);
        Some(AppliedCommand { command, applied })
    }

    /// The snapshot to be stored now, once enough was applied since the last one.
    pub(super) fn take_due_snapshot(&mut self) -> Option<DueSnapshot> {
        let applied = self.machine.applied_index();
        let many = applied >= self.snapshot_index + SNAPSHOT_ENTRIES;
        let large = self.bytes_since_snapshot >= SNAPSHOT_BYTES && applied > self.snapshot_index;
        if !many && !large {
            return None;
        }
        self.snapshot_index = applied;
        self.bytes_since_snapshot = 0;
        Some(DueSnapshot {
            index: applied,
            data: self.machine.snapshot(),
        })
    }
}
