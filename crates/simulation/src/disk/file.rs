//! One file of a simulated disk.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Bytes that a disk writes as one.
const SECTOR_BYTES: usize = 512;

/// A file: what certainly survives a kill, and what a reader sees now.
#[derive(Clone, Debug, Default)]
pub struct DiskFile {
    /// Bytes at the last sync; `None` if the file's name was never synced.
    durable: Option<Vec<u8>>,
    /// Bytes as written; `None` if the file is removed.
    current: Option<Vec<u8>>,
}

impl DiskFile {
    /// The bytes that a reader sees.
    #[must_use]
    pub fn current(&self) -> Option<&Vec<u8>> {
        self.current.as_ref()
    }

    /// Adds bytes to the end, unsynced.
    pub fn append(&mut self, bytes: &[u8]) {
        self.current
            .get_or_insert_with(Vec::new)
            .extend_from_slice(bytes);
    }

    /// Shortens the file, unsynced.
    pub fn truncate(&mut self, length: usize) {
        if let Some(current) = self.current.as_mut() {
            current.truncate(length);
        }
    }

    /// Replaces the bytes; the caller syncs.
    pub fn write(&mut self, bytes: &[u8]) {
        self.current = Some(bytes.to_vec());
    }

    /// Removes the file, unsynced.
    pub fn remove(&mut self) {
        self.current = None;
    }

    /// Makes the present bytes durable.
    pub fn sync(&mut self) {
        self.durable = self.current.clone();
    }

    /// Whether nothing of the file remains, durable or not.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.durable.is_none() && self.current.is_none()
    }

    /// What is left after a power loss: the durable bytes, and perhaps some of what followed them.
    pub fn lose_power(&mut self, random: &mut ChaCha8Rng) {
        let survivor = match (self.durable.take(), self.current.take()) {
            (None, None) => None,
            // A new name or a removal that was not synced may or may not survive.
            (None, Some(current)) => random.random_bool(0.5).then(|| torn(&[], current, random)),
            (Some(durable), None) => random.random_bool(0.5).then_some(durable),
            (Some(durable), Some(current)) => Some(merge(durable, current, random)),
        };
        self.durable = survivor.clone();
        self.current = survivor;
    }
}

fn merge(durable: Vec<u8>, current: Vec<u8>, random: &mut ChaCha8Rng) -> Vec<u8> {
    if current.len() >= durable.len() && current.starts_with(&durable) {
        return torn(&durable, current, random);
    }
    // Rewritten or truncated without a sync: either the old bytes or a torn form of the new.
    if random.random_bool(0.5) {
        return durable;
    }
    let kept = common_prefix(&durable, &current);
    torn(&durable[..kept], current, random)
}

fn common_prefix(left: &[u8], right: &[u8]) -> usize {
    left.iter().zip(right).take_while(|(a, b)| a == b).count()
}

// Keeps the prefix that is durable, and of the rest any length, at times with a sector of zeros.
fn torn(durable: &[u8], mut current: Vec<u8>, random: &mut ChaCha8Rng) -> Vec<u8> {
    let unsynced = current.len() - durable.len();
    let survived = random.random_range(0..=unsynced);
    current.truncate(durable.len() + survived);
    if survived > 0 && random.random_bool(0.3) {
        let start = random.random_range(durable.len()..current.len());
        zero_sector(&mut current, durable.len(), start);
    }
    current
}

fn zero_sector(bytes: &mut [u8], first_unsynced: usize, position: usize) {
    let sector = position - position % SECTOR_BYTES;
    let from = sector.max(first_unsynced);
    let to = (sector + SECTOR_BYTES).min(bytes.len());
    bytes[from..to].fill(0);
}
