//! Which backends have lately read which prefix blocks of prompts.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};

use millford_core::{Duration, MonotonicTime};
use tokio::sync::Notify;

use crate::lock::lock;

/// Number of shards; a power of two.
const INDEX_SHARDS: usize = 16;

/// A block that was not used for this long is believed to have been evicted from the backend's cache.
pub const RETENTION: Duration = Duration::from_secs(25);

/// A block that is used again is announced to the other nodes at most this often.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// One block of a prompt: its identity includes its position, so that equal ids are equal prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identity of the block.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// A block that a backend has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedBlock {
    /// Identity of the block.
    pub block: u64,
    /// The backend.
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

/// Whether other nodes are to be notified of a use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Announcement {
    /// The block is the request's own; no other prompt has it.
    Never,
    /// At most once in [`MIN_ANNOUNCE_INTERVAL`].
    WhenDue,
}

/// Blocks by id with the backends that read them, in shards that each have their own lock.
///
/// Backends do not report what they have cached. What was sent to them decides it, and they evict the least
/// recently used blocks; so a block counts as cached for a while after its last use.
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
    /// This node sends a prompt with these blocks to a backend. The first `shareable` of them may come
    /// again in other prompts.
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

    /// Another node announced where a block was read.
    pub fn record_remote_use(&self, now: MonotonicTime, location: &CachedBlock) {
        let mut shard = self.shard_of(location.block);
        let uses = shard.entry(location.block).or_default();
        let block_use = uses.entry(location.backend_id.clone()).or_insert(BlockUse {
            last_used: now,
            last_announced: Some(now),
            tokens: location.tokens,
        });
        block_use.last_used = now;
    }

    /// The backends that used a block last, the newest first: at most `limit`, and only of those in
    /// `among` unless that is empty.
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

    /// Locations to announce to the other nodes, once each.
    #[must_use]
    pub fn take_announcements(&self) -> Vec<CachedBlock> {
        std::mem::take(&mut *lock(&self.announcements))
    }

    /// Resolves once there are locations to announce.
    pub async fn until_announcements(&self) {
        self.announcements_pending.notified().await;
    }

    /// Forgets what was not used for longer than [`RETENTION`].
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
        let uses = shard.entry(block.id).or_default();
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
