//! One file of the crash disk: what is there now and what a crash leaves.

use rand::Rng;
use rand::rngs::StdRng;

/// Bytes that a disk writes completely or not at all.
const SECTOR_BYTES: usize = 512;

/// Bytes of a file.
#[derive(Clone, Debug, Default)]
pub(crate) struct FileState {
    /// What readers see.
    pub(crate) current: Vec<u8>,
    /// What was synced; `None` when the file itself was not.
    pub(crate) durable: Option<Vec<u8>>,
}

impl FileState {
    /// What a crash leaves of the file; `None` when it does not exist afterwards.
    pub(crate) fn after_crash(&self, random: &mut StdRng) -> Option<Vec<u8>> {
        let durable = match &self.durable {
            Some(durable) => durable.clone(),
            None if random.random_bool(0.5) => return None,
            None => Vec::new(),
        };
        if !self.current.starts_with(&durable) {
            // An unsynced truncation took place or it did not.
            let remaining = if random.random_bool(0.5) {
                &self.current
            } else {
                &durable
            };
            return Some(remaining.clone());
        }
        Some(self.torn_append(durable.len(), random))
    }

    /// Keeps a part of the unsynced bytes; sectors among them may be lost.
    fn torn_append(&self, synced: usize, random: &mut StdRng) -> Vec<u8> {
        let remaining = random.random_range(synced..=self.current.len());
        let mut bytes = self.current[..remaining].to_vec();
        let mut start = synced;
        while start < remaining {
            let end = ((start / SECTOR_BYTES + 1) * SECTOR_BYTES).min(remaining);
            if random.random_bool(0.2) {
                bytes[start..end].fill(0);
            }
            start = end;
        }
        bytes
    }
}
