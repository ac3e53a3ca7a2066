//! Weighted rendezvous hashing: the loss of a backend moves only the keys whose home it was.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a backend for a key. The backend with the highest score is the key's home.
///
/// A backend's share of the keys is proportional to its weight.
#[must_use]
pub fn score(key: u64, backend_id: &str, weight_milli: u32) -> f64 {
    let hash = xxh3_64_with_seed(backend_id.as_bytes(), key);
    let uniform = uniform_open(hash);
    -f64::from(weight_milli) / uniform.ln()
}

/// Maps a hash to a number strictly between 0 and 1.
fn uniform_open(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mantissa = hash >> (u64::BITS - MANTISSA_BITS);
    (mantissa as f64 + 0.5) / (1u64 << MANTISSA_BITS) as f64
}
