//! Synthetic sessions for the comparison of homes when the real sessions are not available.

use millford_routing::prefix::session_hash;

/// Number of sessions in a sample. A share of one percent is estimated to within a few tenths of a
/// percent.
pub const SAMPLED_SESSIONS: usize = 1000;

/// Returns the hashes of `count` synthetic sessions. A home depends only on the hash, so synthetic
/// sessions yield the same shares as real ones.
#[must_use]
pub fn sample_sessions(count: usize) -> Vec<u64> {
    (0..count)
        .map(|number| session_hash("sample", &number.to_string()))
        .collect()
}
