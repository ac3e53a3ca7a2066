//! One file of the crash disk: its current bytes and the bytes that a crash leaves.

use rand::Rng;
use rand::rngs::StdRng;

/// Bytes that a disk writes completely or not at all.
const SECTOR_BYTES: usize = 512;

/// Current and durable bytes of a file.
#[derive(Clone, Debug, Default)]
pub(crate) struct FileState {
    /// Bytes that a read returns.
    pub(crate) current: Vec<u8>,
    /// Bytes as of the last sync; `None` if the file was never synced.
    pub(crate) durable: Option<Vec<u8>>,
}

impl FileState {
    /// Returns the bytes that remain after a crash, or `None` if the file does not exist
    /// afterwards.
    pub(crate) fn after_crash(&self, random: &mut StdRng) -> Option<Vec<u8>> {
        let durable = match &self.durable {
            Some(durable) => durable.clone(),
            None if random.random_bool(0.5) => return None,
            None => Vec::new(),
        };
        if !self.current.starts_with(&durable) {
            // An unsynced truncation is either durable or lost.
            let remaining = if random.random_bool(0.5) {
                &self.current
            } else {
                &durable
            };
            return Some(remaining.clone());
        }
        Some(self.torn_append(durable.len(), random))
    }

    /// Keeps a random prefix of the unsynced bytes and zeroes some of its sectors.
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
