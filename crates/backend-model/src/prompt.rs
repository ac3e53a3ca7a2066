//! Prompts as chains of block hashes: a block's hash covers everything before it.

/// Odd multiplier of the mixing step (splitmix64).
const MIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
/// Start of every chain.
const CHAIN_START: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mixes a value into a chain hash.
fn mix(chain: u64, value: u64) -> u64 {
    let mut mixed = (chain ^ value).wrapping_mul(MIX_MULTIPLIER);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(CHAIN_START);
    mixed ^ (mixed >> 32)
}

/// Chain hashes of blocks that are named by numbers, for generated workloads.
#[must_use]
pub fn chain_blocks(names: &[u64]) -> Vec<u64> {
    let mut chain = CHAIN_START;
    names
        .iter()
        .map(|name| {
            chain = mix(chain, *name);
            chain
        })
        .collect()
}

/// Chain hashes of the full blocks of a text of `block_bytes` bytes each; the rest has no block.
#[must_use]
pub fn text_blocks(text: &str, block_bytes: usize) -> Vec<u64> {
    let names: Vec<u64> = text
        .as_bytes()
        .chunks_exact(block_bytes.max(1))
        .map(|block| {
            block
                .iter()
                .fold(CHAIN_START, |hash, byte| mix(hash, u64::from(*byte)))
        })
        .collect();
    chain_blocks(&names)
}
