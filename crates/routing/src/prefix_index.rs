//! Which backends have lately read which parts of prompts.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use millford_core::{Duration, MonotonicTime};
use tokio::sync::Notify;

/// Number of shards; a power of two.
const INDEX_SHARDS: usize = 16;

/// A part that was not used for this long is believed to have given way to others.
pub const RETENTION: Duration = Duration::from_secs(25);

/// A part that is used again is told to the other nodes at most this often.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// One part of a prompt: its identity includes its place, so that equal ids are equal parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identity of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A part that a backend has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedBlock {
    /// Identity of the part.
    pub block: u64,
    /// The backend.
    pub backend_id: String,
    /// Length of the part.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct BlockUse {
    last_used: MonotonicTime,
    last_announced: Option<MonotonicTime>,
    tokens: u32,
}

type UsesByBackend = BTreeMap<String, BlockUse>;

/// Parts by id with the backends that read them, in shards that each have their own lock.
///
/// Backends do not tell what they keep. What was sent to them decides it, and they let the least
/// recently used parts give way; so a part counts as kept for a while after its last use.
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
    /// This node sends a prompt with these parts to a backend. `shareable` of them may come again.
    pub fn record_dispatch(
        &self,
        now: MonotonicTime,
        backend_id: &str,
        blocks: &[PrefixBlock],
        shareable: usize,
    ) {
        for (index, block) in blocks.iter().enumerate() {
            let announce = index < shareable;
            self.record_use(now, backend_id, *block, announce);
        }
    }

    /// Another node tells where a part was read.
    pub fn record_remote_use(&self, now: MonotonicTime, location: &CachedBlock) {
        let mut shard = self.lock(location.block);
        let uses = shard.entry(location.block).or_default();
        let block_use = uses.entry(location.backend_id.clone()).or_insert(BlockUse {
            last_used: now,
            last_announced: Some(now),
            tokens: location.tokens,
        });
        block_use.last_used = now;
    }

    /// The backends that used a part last, the newest first: at most `max`, and only of those in
    /// `among` unless that is empty.
    #[must_use]
    pub fn most_recent_backends(
        &self,
        now: MonotonicTime,
        block: u64,
        among: &[&str],
        max: usize,
    ) -> Vec<String> {
        let shard = self.lock(block);
        let uses = shard.get(&block).into_iter().flatten();
        let mut recent: Vec<(MonotonicTime, &String)> = uses
            .filter(|(_, block_use)| now.since(block_use.last_used) < RETENTION)
            .filter(|(id, _)| among.is_empty() || among.contains(&id.as_str()))
            .map(|(id, block_use)| (block_use.last_used, id))
            .collect();
        recent.sort_by(|left, right| right.cmp(left));
        recent.truncate(max);
        recent.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Places to tell the other nodes, once each.
    #[must_use]
    pub fn take_announcements(&self) -> Vec<CachedBlock> {
        let mut announcements = self
            .announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *announcements)
    }

    /// Resolves once there are places to tell.
    pub async fn until_announcements(&self) {
        self.announcements_pending.notified().await;
    }

    /// Forgets what was not used for long.
    pub fn expire(&self, now: MonotonicTime) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|_, uses| {
                uses.retain(|_, block_use| now.since(block_use.last_used) < RETENTION);
                !uses.is_empty()
            });
        }
    }

    fn record_use(&self, now: MonotonicTime, backend_id: &str, block: PrefixBlock, announce: bool) {
        let mut shard = self.lock(block.id);
        let uses = shard.entry(block.id).or_default();
        let block_use = uses.entry(backend_id.to_owned()).or_insert(BlockUse {
            last_used: now,
            last_announced: None,
            tokens: block.tokens,
        });
        block_use.last_used = now;
        let due = block_use
            .last_announced
            .is_none_or(|record_remote_use| now.since(record_remote_use) >= MIN_ANNOUNCE_INTERVAL);
        if announce && due {
            block_use.last_announced = Some(now);
            let tokens = block_use.tokens;
            drop(shard);
            let mut announcements = self
                .announcements
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            announcements.push(CachedBlock {
                block: block.id,
                backend_id: backend_id.to_owned(),
                tokens,
            });
            self.announcements_pending.notify_one();
        }
    }

    fn lock(&self, block: u64) -> MutexGuard<'_, HashMap<u64, UsesByBackend>> {
        let slot = usize::try_from(block % INDEX_SHARDS as u64).unwrap_or_default();
        self.shards[slot]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
