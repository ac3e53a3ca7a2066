//! Time that work costs on one backend.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of one cached prefix block.
const BLOCK_BYTES: usize = 256;
/// Bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Blocks that the cache of a backend holds.
const CACHE_BLOCKS: usize = 4096;
/// Prefill time of one uncached token.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(60);
/// Decode time of one token on an idle backend.
const DECODE_PER_TOKEN: Duration = Duration::from_millis(18);
/// Share of the bandwidth that one stream takes.
const BANDWIDTH_PER_STREAM: f64 = 0.02;
/// Bandwidth use above which decode slows steeply.
const BANDWIDTH_KNEE: f64 = 0.65;

/// What the prefill of one prompt costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillCost {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Time of the rest.
    pub duration: Duration,
}

/// Prefix cache and streams of one backend.
#[derive(Debug, Default)]
pub struct BackendCost {
    blocks: HashMap<u64, u64>,
    uses: u64,
    streams: u32,
}

impl BackendCost {
    /// Takes a prompt into the cache and says what its prefill costs.
    pub fn prefill(&mut self, model: &str, text: &str) -> PrefillCost {
        let bytes = text.as_bytes();
        let mut chain = xxh3_64_with_seed(model.as_bytes(), 0);
        let mut cached_bytes = 0;
        let mut prefix_known = true;
        for block in bytes.chunks_exact(BLOCK_BYTES) {
            chain = xxh3_64_with_seed(block, chain);
            prefix_known &= self.touch(chain);
            cached_bytes += if prefix_known { BLOCK_BYTES } else { 0 };
        }
        let prompt_tokens = tokens(bytes.len());
        let cached_tokens = tokens(cached_bytes).min(prompt_tokens);
        let uncached = u32::try_from(prompt_tokens - cached_tokens).unwrap_or(u32::MAX);
        PrefillCost {
            prompt_tokens,
            cached_tokens,
            duration: PREFILL_PER_TOKEN * uncached,
        }
    }

    /// A stream enters decode.
    pub fn open_stream(&mut self) {
        self.streams += 1;
    }

    /// A stream leaves decode.
    pub fn close_stream(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Time to the next token of each stream now.
    #[must_use]
    pub fn decode_interval(&self) -> Duration {
        let bandwidth = f64::from(self.streams) * BANDWIDTH_PER_STREAM;
        let over = (bandwidth - BANDWIDTH_KNEE).max(0.0);
        let factor = 1.0 + bandwidth + (over * 12.0).exp() - 1.0;
        DECODE_PER_TOKEN.mul_f64(factor)
    }

    /// Share of the bandwidth in use.
    #[must_use]
    pub fn load(&self) -> f64 {
        f64::from(self.streams) * BANDWIDTH_PER_STREAM
    }

    fn touch(&mut self, block: u64) -> bool {
        self.uses += 1;
        let known = self.blocks.insert(block, self.uses).is_some();
        if self.blocks.len() > CACHE_BLOCKS {
            self.evict();
        }
        known
    }

    /// Drops the quarter of the blocks that was used least recently.
    fn evict(&mut self) {
        let mut uses: Vec<u64> = self.blocks.values().copied().collect();
        uses.sort_unstable();
        let oldest_kept = uses[uses.len() / 4];
        self.blocks.retain(|_, used| *used >= oldest_kept);
    }
}

fn tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}
