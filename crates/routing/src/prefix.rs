//! Affinity keys: hashes that give related requests the same home.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of the beginning of a prompt that is hashed, in bytes.
pub const PREFIX_BYTES: usize = 4096;

/// Shortest prompt that gets an affinity key, in bytes: shorter ones share too little prefill.
pub const MIN_SHARED_PREFIX_BYTES: usize = 512;

const SESSION_SEED: u64 = 0x7365_7373_696f_6e00;
const PREFIX_SEED: u64 = 0x7072_6566_6978_0000;

/// Hashes the name of a session together with its tenant, since two tenants may use the same name.
#[must_use]
pub fn session_hash(tenant: &str, session: &str) -> u64 {
    let text = format!("{tenant}\u{0}{session}");
    xxh3_64_with_seed(text.as_bytes(), SESSION_SEED)
}

/// Hashes the beginning of a prompt. Returns `None` for a prompt shorter than
/// [`MIN_SHARED_PREFIX_BYTES`].
#[must_use]
pub fn prefix_hash(model: &str, prompt: &[u8]) -> Option<u64> {
    if prompt.len() < MIN_SHARED_PREFIX_BYTES {
        return None;
    }
    let end = prompt.len().min(PREFIX_BYTES);
    let model_seed = xxh3_64_with_seed(model.as_bytes(), PREFIX_SEED);
    Some(xxh3_64_with_seed(&prompt[..end], model_seed))
}
