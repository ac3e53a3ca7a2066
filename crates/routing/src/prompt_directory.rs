//! Which backends have lately read which parts of prompts.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use millford_core::{Duration, MonotonicTime};
use tokio::sync::Notify;

/// Number of shards; a power of two.
const DIRECTORY_SHARDS: usize = 16;

/// A part that was not used for this long is believed to have given way to others.
pub const REMEMBERED_FOR: Duration = Duration::from_secs(25);

/// A part that is used again is told to the other nodes at most this often.
const TOLD_AGAIN_AFTER: Duration = Duration::from_secs(2);

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
struct Reading {
    last_used: MonotonicTime,
    last_told: Option<MonotonicTime>,
    tokens: u32,
}

type Readings = BTreeMap<String, Reading>;

/// Parts by id with the backends that read them, in shards that each have their own lock.
///
/// Backends do not tell what they keep. What was sent to them decides it, and they let the least
/// recently used parts give way; so a part counts as kept for a while after its last use.
#[derive(Debug)]
pub struct PromptDirectory {
    shards: Vec<Mutex<HashMap<u64, Readings>>>,
    news: Mutex<Vec<CachedBlock>>,
    has_news: Notify,
}

impl Default for PromptDirectory {
    fn default() -> Self {
        let shards = (0..DIRECTORY_SHARDS).map(|_| Mutex::default());
        Self {
            shards: shards.collect(),
            news: Mutex::default(),
            has_news: Notify::new(),
        }
    }
}

impl PromptDirectory {
    /// This node sends a prompt with these parts to a backend. `shared` of them may come again.
    pub fn sent(
        &self,
        now: MonotonicTime,
        backend_id: &str,
        blocks: &[PrefixBlock],
        shared: usize,
    ) {
        for (index, block) in blocks.iter().enumerate() {
            let tell = index < shared;
            self.note(now, backend_id, *block, tell);
        }
    }

    /// Another node tells where a part was read.
    pub fn told(&self, now: MonotonicTime, place: &CachedBlock) {
        let mut shard = self.lock(place.block);
        let readings = shard.entry(place.block).or_default();
        let reading = readings.entry(place.backend_id.clone()).or_insert(Reading {
            last_used: now,
            last_told: Some(now),
            tokens: place.tokens,
        });
        reading.last_used = now;
    }

    /// The backends that used a part last, the newest first: at most `most`, and only of those in
    /// `among` unless that is empty.
    #[must_use]
    pub fn newest_holders(
        &self,
        now: MonotonicTime,
        block: u64,
        among: &[&str],
        most: usize,
    ) -> Vec<String> {
        let shard = self.lock(block);
        let readings = shard.get(&block).into_iter().flatten();
        let mut holders: Vec<(MonotonicTime, &String)> = readings
            .filter(|(_, reading)| now.since(reading.last_used) < REMEMBERED_FOR)
            .filter(|(id, _)| among.is_empty() || among.contains(&id.as_str()))
            .map(|(id, reading)| (reading.last_used, id))
            .collect();
        holders.sort_by(|left, right| right.cmp(left));
        holders.truncate(most);
        holders.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Places to tell the other nodes, once each.
    #[must_use]
    pub fn take_news(&self) -> Vec<CachedBlock> {
        let mut news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *news)
    }

    /// Resolves once there are places to tell.
    pub async fn until_news(&self) {
        self.has_news.notified().await;
    }

    /// Forgets what was not used for long.
    pub fn expire(&self, now: MonotonicTime) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|_, readings| {
                readings.retain(|_, reading| now.since(reading.last_used) < REMEMBERED_FOR);
                !readings.is_empty()
            });
        }
    }

    fn note(&self, now: MonotonicTime, backend_id: &str, block: PrefixBlock, tell: bool) {
        let mut shard = self.lock(block.id);
        let readings = shard.entry(block.id).or_default();
        let reading = readings.entry(backend_id.to_owned()).or_insert(Reading {
            last_used: now,
            last_told: None,
            tokens: block.tokens,
        });
        reading.last_used = now;
        let due = reading
            .last_told
            .is_none_or(|told| now.since(told) >= TOLD_AGAIN_AFTER);
        if tell && due {
            reading.last_told = Some(now);
            let tokens = reading.tokens;
            drop(shard);
            let mut news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
            news.push(CachedBlock {
                block: block.id,
                backend_id: backend_id.to_owned(),
                tokens,
            });
            self.has_news.notify_one();
        }
    }

    fn lock(&self, block: u64) -> MutexGuard<'_, HashMap<u64, Readings>> {
        let slot = usize::try_from(block % DIRECTORY_SHARDS as u64).unwrap_or_default();
        self.shards[slot]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
