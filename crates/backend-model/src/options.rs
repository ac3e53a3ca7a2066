//! Size of an emulated backend.

use crate::bandwidth::LatencyCurve;

/// Default limit of open runs.
pub const DEFAULT_MAX_RUNS: usize = 512;
/// Default prefix cache size, in blocks.
pub const DEFAULT_CACHE_BLOCKS: usize = 4096;
/// Default block size of the prefix cache, in tokens.
pub const DEFAULT_BLOCK_TOKENS: u32 = 64;

/// Size and limits of one emulated backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendOptions {
    /// Processor cores.
    pub cores: f64,
    /// Memory bandwidth, in GB/s.
    pub bandwidth_gbps: f64,
    /// Limit of open runs; further ones are refused before any work.
    pub max_runs: usize,
    /// Blocks that the prefix cache holds, over all models.
    pub cache_blocks: usize,
    /// Tokens of one block of the prefix cache.
    pub block_tokens: u32,
    /// How latency rises with bandwidth use.
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
