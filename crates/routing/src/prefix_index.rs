//! Index of the backends that recently processed each prefix block.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};

use millford_core::{Duration, MonotonicTime};
use tokio::sync::Notify;

use crate::lock::lock;

/// Number of shards of the index; a power of two.
const INDEX_SHARDS: usize = 16;

/// Time since its last use after which a block is assumed to be evicted from the backend's cache.
pub const RETENTION: Duration = Duration::from_secs(25);

/// Shortest time between two announcements of the same block on the same backend to the other nodes.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// Most blocks in one shard of the index, which callers and other nodes name; several times what a node of the planned
/// fleet keeps. Further blocks are not recorded until others expire, so that prompts of them go to any backend.
pub const MAX_BLOCKS_PER_SHARD: usize = 8192;

/// One block of a prompt. Its id depends on its position, so equal ids mean equal prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Id of the block.
    pub id: u64,
    /// Length of the block, in tokens.
    pub tokens: u32,
}

/// A block that is assumed to be in a backend's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedBlock {
    /// Id of the block.
    pub block: u64,
    /// Id of the backend whose cache is assumed to contain the block.
    pub backend_id: String,
    /// Length of the block, in tokens.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct BlockUse {
    last_used: MonotonicTime,
    last_announced: Option<MonotonicTime>,
    tokens: u32,
}

type UsesByBackend = BTreeMap<String, BlockUse>;

/// Whether a use is announced to the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Announcement {
    /// Not announced: no other prompt contains the block.
    Never,
    /// Announced unless the last announcement is more recent than [`MIN_ANNOUNCE_INTERVAL`].
    WhenDue,
}

/// Backends that recently processed each block, by block id, in shards with one lock each.
///
/// Backends do not report what they have cached. They cache the prompts sent to them and evict the least
/// recently used blocks, so a block counts as cached for [`RETENTION`] after its last use.
#[derive(Debug)]
pub struct PrefixIndex {
    shards: Vec<Mutex<HashMap<u64, UsesByBackend>>>,
    announcements: Mutex<Vec<CachedBlock>>,
    announcements_pending: Notify,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        let shards = (0..INDEX_SHARDS).map(|_| Mutex::default());
        Self {
            shards: shards.collect(),
            announcements: Mutex::default(),
            announcements_pending: Notify::new(),
        }
    }
}

impl PrefixIndex {
    /// Records that this node is sending a prompt with these blocks to a backend. Only the first `shareable`
    /// blocks can occur in other prompts; the rest are not announced.
    pub fn record_dispatch(
        &self,
        now: MonotonicTime,
        backend_id: &str,
        blocks: &[PrefixBlock],
        shareable: usize,
    ) {
        for (index, block) in blocks.iter().enumerate() {
            let announcement = if index < shareable {
                Announcement::WhenDue
            } else {
                Announcement::Never
            };
            self.record_use(now, backend_id, *block, announcement);
        }
    }

    /// Records a block location that another node announced.
    pub fn record_remote_use(&self, now: MonotonicTime, location: &CachedBlock) {
        let mut shard = self.shard_of(location.block);
        let Some(uses) = uses_of(&mut shard, location.block) else {
            return;
        };
        let block_use = uses.entry(location.backend_id.clone()).or_insert(BlockUse {
            last_used: now,
            last_announced: Some(now),
            tokens: location.tokens,
        });
        block_use.last_used = now;
    }

    /// Returns the backends that used a block within [`RETENTION`], the most recent first: at most
    /// `limit`, and only those in `among` unless it is empty.
    #[must_use]
    pub fn most_recent_backends(
        &self,
        now: MonotonicTime,
        block: u64,
        among: &[&str],
        limit: usize,
    ) -> Vec<String> {
        let shard = self.shard_of(block);
        let uses = shard.get(&block).into_iter().flatten();
        let mut recent: Vec<(MonotonicTime, &String)> = uses
            .filter(|(_, block_use)| now.since(block_use.last_used) < RETENTION)
            .filter(|(id, _)| among.is_empty() || among.contains(&id.as_str()))
            .map(|(id, block_use)| (block_use.last_used, id))
            .collect();
        recent.sort_by(|left, right| right.cmp(left));
        recent.truncate(limit);
        recent.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Takes the locations to announce to the other nodes.
    #[must_use]
    pub fn take_announcements(&self) -> Vec<CachedBlock> {
        std::mem::take(&mut *lock(&self.announcements))
    }

    /// Waits until there are locations to announce.
    pub async fn until_announcements(&self) {
        self.announcements_pending.notified().await;
    }

    /// Removes blocks that were not used within [`RETENTION`].
    pub fn expire(&self, now: MonotonicTime) {
        for shard in &self.shards {
            lock(shard).retain(|_, uses| {
                uses.retain(|_, block_use| now.since(block_use.last_used) < RETENTION);
                !uses.is_empty()
            });
        }
    }

    fn record_use(
        &self,
        now: MonotonicTime,
        backend_id: &str,
        block: PrefixBlock,
        announcement: Announcement,
    ) {
        let mut shard = self.shard_of(block.id);
        let Some(uses) = uses_of(&mut shard, block.id) else {
            return;
        };
        let block_use = uses.entry(backend_id.to_owned()).or_insert(BlockUse {
            last_used: now,
            last_announced: None,
            tokens: block.tokens,
        });
        block_use.last_used = now;
        let is_due = block_use
            .last_announced
            .is_none_or(|announced| now.since(announced) >= MIN_ANNOUNCE_INTERVAL);
        if announcement == Announcement::Never || !is_due {
            return;
        }
        block_use.last_announced = Some(now);
        let tokens = block_use.tokens;
        drop(shard);
        lock(&self.announcements).push(CachedBlock {
            block: block.id,
            backend_id: backend_id.to_owned(),
            tokens,
        });
        self.announcements_pending.notify_one();
    }

    fn shard_of(&self, block: u64) -> MutexGuard<'_, HashMap<u64, UsesByBackend>> {
        let slot = usize::try_from(block % INDEX_SHARDS as u64).unwrap_or_default();
        lock(&self.shards[slot])
    }
}

/// Returns the uses of a block, or `None` if it is new and the shard is full.
fn uses_of(shard: &mut HashMap<u64, UsesByBackend>, block: u64) -> Option<&mut UsesByBackend> {
    if shard.len() >= MAX_BLOCKS_PER_SHARD {
        return shard.get_mut(&block);
    }
    Some(shard.entry(block).or_default())
}
