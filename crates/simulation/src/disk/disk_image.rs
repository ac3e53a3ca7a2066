//! Simulated disk of one machine; independent of the process that uses it.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use crate::disk::condition::DiskCondition;
use crate::disk::file::DiskFile;

/// Duration of a sync on a healthy disk, in microseconds.
pub const HEALTHY_SYNC_MICROS: u64 = 300;

/// Files and condition of a disk. They outlive the process that uses the disk.
#[derive(Debug, Default)]
pub struct DiskImage {
    files: BTreeMap<String, DiskFile>,
    condition: DiskCondition,
    /// Total duration of the operations since the last [`Self::take_busy_micros`], in microseconds.
    busy_micros: u64,
    /// Injected defect: syncs make nothing durable.
    ignores_syncs: bool,
    /// Whether the disk was stalled at a sync since the last [`Self::take_stalled`].
    stalled: bool,
}

impl DiskImage {
    /// Sets the condition of the disk.
    pub fn set_condition(&mut self, condition: DiskCondition) {
        self.condition = condition;
    }

    /// Returns the present condition of the disk.
    #[must_use]
    pub fn condition(&self) -> DiskCondition {
        self.condition
    }

    /// Returns the total duration of the operations since the last call, in microseconds.
    pub fn take_busy_micros(&mut self) -> u64 {
        std::mem::take(&mut self.busy_micros)
    }

    /// Returns whether the disk was stalled at any sync since the last call.
    pub fn take_stalled(&mut self) -> bool {
        std::mem::take(&mut self.stalled)
    }

    /// Injects a defect: from now on, syncs make nothing durable.
    pub fn ignore_syncs(&mut self) {
        self.ignores_syncs = true;
    }

    /// Deletes every file.
    pub fn wipe(&mut self) {
        self.files.clear();
    }

    /// Simulates a power loss: synced bytes are kept, and of the others a random, possibly torn part.
    pub fn lose_power(&mut self, random: &mut ChaCha8Rng) {
        for file in self.files.values_mut() {
            file.lose_power(random);
        }
        self.drop_removed();
        self.busy_micros = 0;
    }

    /// Returns the names of the existing files that start with `prefix`, without the prefix.
    #[must_use]
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let visible = self
            .files
            .iter()
            .filter(|(_, file)| file.current().is_some());
        let names = visible.filter_map(|(name, _)| name.strip_prefix(prefix));
        names.map(str::to_string).collect()
    }

    /// Returns the bytes of a file, synced or not; `None` if it does not exist.
    #[must_use]
    pub fn read(&self, name: &str) -> Option<Vec<u8>> {
        self.files
            .get(name)
            .and_then(|file| file.current().cloned())
    }

    /// Returns the file with this name, and creates it if it does not exist.
    pub fn file(&mut self, name: &str) -> &mut DiskFile {
        self.files.entry(name.to_string()).or_default()
    }

    /// Syncs a file and adds the duration to the busy time. On a stalled disk the duration is that of a
    /// healthy one; the caller adds the stall, see [`Self::take_stalled`].
    pub fn sync(&mut self, name: &str) {
        self.stalled |= self.condition == DiskCondition::Stalled;
        self.busy_micros += match self.condition {
            DiskCondition::Slow(micros) => micros,
            _ => HEALTHY_SYNC_MICROS,
        };
        if let Some(file) = self.files.get_mut(name).filter(|_| !self.ignores_syncs) {
            file.sync();
        }
        self.drop_removed();
    }

    fn drop_removed(&mut self) {
        self.files.retain(|_, file| !file.is_removed());
    }
}
