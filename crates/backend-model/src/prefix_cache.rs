//! Prefix cache of a backend: blocks of prompts, the least recently used evicted first.

use std::collections::BTreeMap;

/// A cached block: which model and the chain hash up to and with the block.
type BlockKey = (String, u64);

/// Blocks of the prompts that a backend has worked on.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    used_at: BTreeMap<BlockKey, u64>,
    by_use: BTreeMap<u64, BlockKey>,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Number of cached blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Whether no block is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }

    /// Drops every block, as a restart does.
    pub fn clear(&mut self) {
        self.used_at.clear();
        self.by_use.clear();
    }

    /// Number of leading blocks of the prompt that are cached.
    #[must_use]
    pub fn leading_hits(&self, model: &str, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used_at.contains_key(&(model.to_owned(), **block)))
            .count()
    }

    /// Marks the prompt's blocks as used now and evicts the least recently used ones.
    ///
    /// Later blocks are marked first, so that a chain loses its end before its start.
    pub fn mark_used(&mut self, model: &str, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.mark_block_used((model.to_owned(), *block));
        }
        while self.used_at.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&oldest);
        }
    }

    fn mark_block_used(&mut self, key: BlockKey) {
        self.clock += 1;
        if let Some(previous) = self.used_at.insert(key.clone(), self.clock) {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.clock, key);
    }
}
