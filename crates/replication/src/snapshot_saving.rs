//! Snapshots of the owner's state, which let the log be compacted.

use millford_storage::SnapshotMeta;

use crate::{Replica, SnapshotError};

impl Replica {
    /// Stores a snapshot of the owner's state, which has applied everything up to `applied_index`,
    /// and compacts the log behind it.
    ///
    /// # Errors
    /// [`SnapshotError::NotDelivered`] and [`SnapshotError::Outdated`] when the index is not one to
    /// save; [`SnapshotError::Storage`] when it could not be stored, after which the replica is dead
    /// unless the disk was merely full.
    pub fn save_snapshot(
        &mut self,
        applied_index: u64,
        data: Vec<u8>,
    ) -> Result<(), SnapshotError> {
        self.check_alive()?;
        if applied_index > self.delivered_index {
            return Err(SnapshotError::NotDelivered);
        }
        let newest = self.snapshot_index();
        let term = self.storage.term_at(applied_index);
        let Some(term) = term.filter(|_| applied_index > newest) else {
            return Err(SnapshotError::Outdated);
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
