//! Prefix cache of a backend: blocks of prompts under least-recently-used eviction.

use std::collections::BTreeMap;

/// Key of a cached block: the model, and the chain hash that ends with the block.
type BlockKey = (String, u64);

/// Blocks of the prompts that a backend has prefilled.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    used_at: BTreeMap<BlockKey, u64>,
    by_use: BTreeMap<u64, BlockKey>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the number of cached blocks, over all models.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Returns whether no block is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }

    /// Drops every block, as a restart does.
    pub fn clear(&mut self) {
        self.used_at.clear();
        self.by_use.clear();
    }

    /// Returns how many leading blocks of the prompt are cached; does not mark them as used.
    #[must_use]
    pub fn leading_hits(&self, model: &str, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used_at.contains_key(&(model.to_owned(), **block)))
            .count()
    }

    /// Inserts the prompt's blocks as the most recently used ones, and evicts down to the capacity.
    ///
    /// Blocks are inserted from last to first, so that a chain is evicted from its end: a block is of no use
    /// without those before it.
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
