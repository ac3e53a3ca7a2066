//! Snapshots of the owner's state, which let the log be compacted.

use millford_storage::SnapshotMeta;

use crate::{Replica, SnapshotRefused};

impl Replica {
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

    /// Index of the newest snapshot; 0 without one.
    pub(crate) fn snapshot_index(&self) -> u64 {
        let snapshot = self.storage.snapshot();
        snapshot.map_or(0, |snapshot| snapshot.meta.index)
    }
}
