//! The files of one machine's disk, apart from the process that uses them.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use crate::disk::condition::DiskCondition;
use crate::disk::file::DiskFile;

/// Microseconds of a sync on a healthy disk.
pub const HEALTHY_SYNC_MICROS: u64 = 300;

/// State of a disk; it outlives the process, but not a wipe.
#[derive(Debug, Default)]
pub struct DiskImage {
    files: BTreeMap<String, DiskFile>,
    condition: DiskCondition,
    /// Time that operations took since this was last read.
    busy_micros: u64,
    /// A planted defect: syncs make nothing durable.
    ignores_syncs: bool,
    /// Whether a sync met a stalled disk since this was last read.
    stalled: bool,
}

impl DiskImage {
    /// Changes how the disk behaves.
    pub fn set_condition(&mut self, condition: DiskCondition) {
        self.condition = condition;
    }

    /// How the disk behaves now.
    #[must_use]
    pub fn condition(&self) -> DiskCondition {
        self.condition
    }

    /// Time that operations took since this was last read, in microseconds.
    pub fn take_busy_micros(&mut self) -> u64 {
        std::mem::take(&mut self.busy_micros)
    }

    /// Whether a sync since this was last read met a stalled disk.
    pub fn take_stalled(&mut self) -> bool {
        std::mem::take(&mut self.stalled)
    }

    /// From now on syncs do nothing: a planted defect.
    pub fn ignore_syncs(&mut self) {
        self.ignores_syncs = true;
    }

    /// Forgets every file.
    pub fn wipe(&mut self) {
        self.files.clear();
    }

    /// What is left after a kill of the machine: synced bytes, and perhaps a torn part of the others.
    pub fn lose_power(&mut self, random: &mut ChaCha8Rng) {
        for file in self.files.values_mut() {
            file.lose_power(random);
        }
        self.drop_removed();
        self.busy_micros = 0;
    }

    /// Names under `prefix` that a reader sees.
    #[must_use]
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let visible = self
            .files
            .iter()
            .filter(|(_, file)| file.current().is_some());
        let names = visible.filter_map(|(name, _)| name.strip_prefix(prefix));
        names.map(str::to_string).collect()
    }

    /// Bytes of a file that a reader sees.
    #[must_use]
    pub fn read(&self, name: &str) -> Option<Vec<u8>> {
        self.files
            .get(name)
            .and_then(|file| file.current().cloned())
    }

    /// The file, made if it does not exist.
    pub fn file(&mut self, name: &str) -> &mut DiskFile {
        self.files.entry(name.to_string()).or_default()
    }

    /// Syncs a file and counts the time it takes.
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
