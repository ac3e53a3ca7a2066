//! Chain hashes of prompt blocks: the hash of a block covers every block before it.

/// Odd multiplier of the mixing step (from splitmix64).
const MIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
/// Initial value of every chain, also the second multiplier of the mixing step.
const CHAIN_START: u64 = 0x9e37_79b9_7f4a_7c15;

/// Extends a chain hash by `value`.
fn mix(chain: u64, value: u64) -> u64 {
    let mut mixed = (chain ^ value).wrapping_mul(MIX_MULTIPLIER);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(CHAIN_START);
    mixed ^ (mixed >> 32)
}

/// Returns the chain hashes of blocks that are identified by numbers, as in generated workloads.
#[must_use]
pub fn chain_blocks(block_ids: &[u64]) -> Vec<u64> {
    let mut chain = CHAIN_START;
    block_ids
        .iter()
        .map(|block_id| {
            chain = mix(chain, *block_id);
            chain
        })
        .collect()
}

/// Splits a text into blocks of `block_bytes` bytes and returns their chain hashes. An incomplete last
/// block is left out.
#[must_use]
pub fn text_blocks(text: &str, block_bytes: usize) -> Vec<u64> {
    let block_hashes: Vec<u64> = text
        .as_bytes()
        .chunks_exact(block_bytes.max(1))
        .map(|block| {
            block
                .iter()
                .fold(CHAIN_START, |hash, byte| mix(hash, u64::from(*byte)))
        })
        .collect();
    chain_blocks(&block_hashes)
}
