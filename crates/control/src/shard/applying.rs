//! Committed entries and snapshots on their way into the state machine, and out to the feed.

use millford_api::command::Command;
use millford_api::replication::{LogEntry, log_entry::Payload};
use millford_api::state::StateItem;
use millford_control_state::{Applied, ShardMachine};
use millford_core::{MonotonicTime, ShardId};
use millford_feed::FeedPosition;
use millford_replication::RestoredSnapshot;
use millford_storage::StorageError;
use prost::Message;

use super::core::ShardCore;
use super::output::ShardOutput;
use crate::timing::{SNAPSHOT_BYTES, SNAPSHOT_ENTRIES};

impl ShardCore {
    pub(super) fn restore(&mut self, now: MonotonicTime, snapshot: &RestoredSnapshot) {
        let former: Vec<String> = self.machine.public_state().keys().cloned().collect();
        let mut machine = ShardMachine::new(self.options.shard);
        if machine.restore(&snapshot.data).is_err() {
            // The bytes passed their checksum, so this is a snapshot of a newer release.
            self.fail(&StorageError::Failed);
            return;
        }
        machine.skip(snapshot.index, snapshot.term);
        self.machine = machine;
        self.snapshot_index = snapshot.index;
        let items = public_items(&self.machine);
        let position = FeedPosition::new(snapshot.term, snapshot.index);
        let deliveries = self.publisher.restore(position, items.clone());
        self.deliver(deliveries);
        let deleted = former
            .into_iter()
            .filter(|key| !self.machine.public_state().contains_key(key))
            .map(|key| StateItem { key, value: None });
        let mut changes: Vec<StateItem> = deleted.collect();
        changes.extend(items);
        self.public_changed(now, changes);
    }

    pub(super) fn apply(&mut self, now: MonotonicTime, entry: LogEntry) {
        let applied = self.apply_payload(now, &entry);
        let changes = applied
            .as_ref()
            .map_or_else(Vec::new, |applied| applied.changes.clone());
        let position = FeedPosition::new(entry.term, entry.index);
        let deliveries = self.publisher.apply(position, changes.clone());
        self.deliver(deliveries);
        if !changes.is_empty() {
            self.public_changed(now, changes);
        }
        let purpose = self.proposals.take(entry.index, entry.term);
        if let (Some(applied), Some(purpose)) = (applied, purpose) {
            self.proposal_applied(purpose, applied);
        }
    }

    fn apply_payload(&mut self, now: MonotonicTime, entry: &LogEntry) -> Option<Applied> {
        let Some(Payload::Command(bytes)) = &entry.payload else {
            self.machine.skip(entry.index, entry.term);
            return None;
        };
        self.bytes_since_snapshot += bytes.len();
        // Only commands that this code encoded get into the log; one of a newer release that
        // cannot be read changes nothing here and is refused in the same way on every replica.
        let command = Command::decode(bytes.as_slice()).unwrap_or_default();
        let applied = self.machine.apply(entry.index, entry.term, &command);
        self.follow_sessions(now, &command, &applied);
        Some(applied)
    }

    pub(super) fn take_snapshot(&mut self) {
        let applied = self.machine.applied_index();
        let many = applied >= self.snapshot_index + SNAPSHOT_ENTRIES;
        let large = self.bytes_since_snapshot >= SNAPSHOT_BYTES && applied > self.snapshot_index;
        if !many && !large {
            return;
        }
        let data = self.machine.snapshot();
        // A refusal leaves the log longer; the next entries try again.
        let _ = self.replica.save_snapshot(applied, data);
        self.snapshot_index = applied;
        self.bytes_since_snapshot = 0;
    }

    fn public_changed(&mut self, now: MonotonicTime, changes: Vec<StateItem>) {
        if self.options.shard == ShardId::CONFIGURATION {
            self.configuration(now, &changes);
        }
        self.catalogue.check_soon();
        self.outputs.push(ShardOutput::PublicChange(changes));
    }
}

fn public_items(machine: &ShardMachine) -> Vec<StateItem> {
    let items = machine.public_state().iter();
    items
        .map(|(key, value)| StateItem {
            key: key.clone(),
            value: Some(value.clone()),
        })
        .collect()
}
