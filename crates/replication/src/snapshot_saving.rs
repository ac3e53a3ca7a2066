//! Saving snapshots of the owner's state, after which the log is compacted.

use millford_storage::SnapshotMeta;

use crate::{Replica, SnapshotError};

impl Replica {
    /// Stores a snapshot of the owner's state, which includes every entry up to `applied_index`,
    /// and compacts the log up to it.
    ///
    /// # Errors
    /// [`SnapshotError::NotDelivered`] for an index that no flush has returned yet,
    /// [`SnapshotError::Outdated`] for one that is not newer than the newest snapshot, and
    /// [`SnapshotError::Storage`] when the snapshot could not be stored. A storage error other than
    /// a full disk makes the replica unusable.
    pub fn save_snapshot(
        &mut self,
        applied_index: u64,
        data: Vec<u8>,
    ) -> Result<(), SnapshotError> {
        self.check_not_failed()?;
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
