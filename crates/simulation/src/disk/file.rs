//! A file of a simulated disk.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Size of the unit that a disk writes atomically, in bytes.
const SECTOR_BYTES: usize = 512;

/// A file with its durable content and its present content.
#[derive(Clone, Debug, Default)]
pub struct DiskFile {
    /// Content at the last sync, which survives a power loss; `None` if the file did not exist then.
    durable: Option<Vec<u8>>,
    /// Content as readers see it; `None` if the file does not exist or is removed.
    current: Option<Vec<u8>>,
}

impl DiskFile {
    /// Returns the content as readers see it; `None` if the file does not exist.
    #[must_use]
    pub fn current(&self) -> Option<&Vec<u8>> {
        self.current.as_ref()
    }

    /// Appends bytes without a sync.
    pub fn append(&mut self, bytes: &[u8]) {
        self.current
            .get_or_insert_with(Vec::new)
            .extend_from_slice(bytes);
    }

    /// Truncates the file to `length` bytes without a sync.
    pub fn truncate(&mut self, length: usize) {
        if let Some(current) = self.current.as_mut() {
            current.truncate(length);
        }
    }

    /// Replaces the content without a sync.
    pub fn write(&mut self, bytes: &[u8]) {
        self.current = Some(bytes.to_vec());
    }

    /// Removes the file without a sync.
    pub fn remove(&mut self) {
        self.current = None;
    }

    /// Makes the present content, or the removal, durable.
    pub fn sync(&mut self) {
        self.durable = self.current.clone();
    }

    /// Returns whether the file neither exists nor would exist after a power loss.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.durable.is_none() && self.current.is_none()
    }

    /// Simulates a power loss: the durable content is kept, and a random part of what was appended since.
    /// An unsynced creation, removal or rewrite is either kept or undone.
    pub fn lose_power(&mut self, random: &mut ChaCha8Rng) {
        let survivor = match (self.durable.take(), self.current.take()) {
            (None, None) => None,
            // An unsynced creation or removal may be kept or undone.
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
    // Rewritten or truncated without a sync: either the old content or a torn form of the new.
    if random.random_bool(0.5) {
        return durable;
    }
    let kept = common_prefix(&durable, &current);
    torn(&durable[..kept], current, random)
}

fn common_prefix(left: &[u8], right: &[u8]) -> usize {
    left.iter().zip(right).take_while(|(a, b)| a == b).count()
}

/// Keeps the durable prefix and a random length of the rest, sometimes with a sector of zeros.
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
