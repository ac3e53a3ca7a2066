//! The replicated state as far as this replica has applied it, and the schedule of its snapshots.

use millford_api::command::Command;
use millford_api::replication::{LogEntry, log_entry::Payload};
use millford_api::state::StateItem;
use millford_control_state::{Applied, RestoreError, ShardMachine};
use millford_core::ShardId;
use millford_replication::RestoredSnapshot;
use prost::Message;

use crate::timing::{SNAPSHOT_BYTES, SNAPSHOT_ENTRIES};

/// A command and the outcome of applying it.
#[derive(Debug)]
pub(super) struct AppliedCommand {
    /// The command as decoded from the log entry.
    pub(super) command: Command,
    /// Its result, and the public items that it changed.
    pub(super) applied: Applied,
}

/// A snapshot that is ready to be stored.
#[derive(Debug)]
pub(super) struct DueSnapshot {
    /// Last log index that the snapshot covers.
    pub(super) index: u64,
    /// The encoded state of the state machine.
    pub(super) data: Vec<u8>,
}

/// Owns the state machine and decides when to take a snapshot of it.
pub(super) struct AppliedState {
    machine: ShardMachine,
    /// Last log index that the newest snapshot covers.
    snapshot_index: u64,
    /// Bytes of the commands applied since the last snapshot.
    bytes_since_snapshot: usize,
}

impl AppliedState {
    /// Creates the empty state of a shard.
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            machine: ShardMachine::new(shard),
            snapshot_index: 0,
            bytes_since_snapshot: 0,
        }
    }

    /// The state machine, for reads.
    pub(super) fn machine(&self) -> &ShardMachine {
        &self.machine
    }

    /// All public items of the state.
    pub(super) fn public_items(&self) -> Vec<StateItem> {
        let items = self.machine.public_state().iter();
        items
            .map(|(key, value)| StateItem {
                key: key.clone(),
                value: Some(value.clone()),
            })
            .collect()
    }

    /// Replaces the state by a snapshot. Returns a deletion for each public item that the snapshot
    /// does not contain.
    ///
    /// # Errors
    /// The snapshot cannot be decoded. Its bytes passed their checksum, so a newer release wrote
    /// it. The state stays as it was.
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

    /// Resets to the empty state, to be rebuilt from the snapshot and the log.
    pub(super) fn reset(&mut self) {
        self.machine = ShardMachine::new(self.machine.shard());
        self.snapshot_index = 0;
    }

    /// Applies a committed entry. Returns the command and its outcome, if the entry holds a
    /// command.
    pub(super) fn apply(&mut self, entry: &LogEntry) -> Option<AppliedCommand> {
        let Some(Payload::Command(bytes)) = &entry.payload else {
            self.machine.skip(entry.index, entry.term);
            return None;
        };
        self.bytes_since_snapshot += bytes.len();
        // Only commands that this code encoded get into the log. A command of a newer release that
        // cannot be decoded changes nothing and is refused in the same way on every replica.
        let command = Command::decode(bytes.as_slice()).unwrap_or_default();
        let applied = self.machine.apply(entry.index, entry.term, &command);
        Some(AppliedCommand { command, applied })
    }

    /// Takes a snapshot if [`SNAPSHOT_ENTRIES`] entries or [`SNAPSHOT_BYTES`] of commands have been
    /// applied since the last one.
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
