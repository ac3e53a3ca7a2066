//! Sessions to compare homes by when the real ones are not available.

use millford_routing::prefix::session_hash;

/// Sessions of a sample: a share of one in a hundred is estimated within a few tenths of a percent.
pub const SAMPLED_SESSIONS: usize = 1000;

/// Hashes of made-up sessions. Homes depend on the hash only, so any sample yields the same shares.
#[must_use]
pub fn sample_sessions(count: usize) -> Vec<u64> {
    (0..count)
        .map(|number| session_hash("sample", &number.to_string()))
        .collect()
}
