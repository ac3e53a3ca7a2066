//! Capacity and limits of an emulated backend.

use crate::bandwidth::LatencyCurve;

/// Default [`BackendOptions::max_runs`].
pub const DEFAULT_MAX_RUNS: usize = 512;
/// Default [`BackendOptions::cache_blocks`].
pub const DEFAULT_CACHE_BLOCKS: usize = 4096;
/// Default [`BackendOptions::block_tokens`].
pub const DEFAULT_BLOCK_TOKENS: u32 = 64;

/// Capacity and limits of one emulated backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendOptions {
    /// Number of processor cores; may be fractional.
    pub cores: f64,
    /// Memory bandwidth, in GB/s.
    pub bandwidth_gbps: f64,
    /// Largest number of open runs; further ones are refused before any work.
    pub max_runs: usize,
    /// Capacity of the prefix cache in blocks, shared by all models.
    pub cache_blocks: usize,
    /// Tokens per block of the prefix cache.
    pub block_tokens: u32,
    /// Slowdown of memory-bound work over bandwidth use.
    pub curve: LatencyCurve,
}

impl Default for BackendOptions {
    fn default() -> Self {
        Self {
            cores: 16.0,
            bandwidth_gbps: 200.0,
            max_runs: DEFAULT_MAX_RUNS,
            cache_blocks: DEFAULT_CACHE_BLOCKS,
            block_tokens: DEFAULT_BLOCK_TOKENS,
            curve: LatencyCurve::default(),
        }
    }
}
