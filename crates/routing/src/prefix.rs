//! Hashes by which related requests get the same home.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much of a prompt decides its home, in bytes.
pub const PREFIX_BYTES: usize = 4096;

/// Prompts shorter than this share too little to be worth a home, in bytes.
pub const SHORTEST_SHARED_PREFIX: usize = 512;

const SESSION_SEED: u64 = 0x7365_7373_696f_6e00;
const PREFIX_SEED: u64 = 0x7072_6566_6978_0000;

/// Hash of a session's name within a tenant: two tenants may use the same name.
#[must_use]
pub fn session_hash(tenant: &str, session: &str) -> u64 {
    let text = format!("{tenant}\u{0}{session}");
    xxh3_64_with_seed(text.as_bytes(), SESSION_SEED)
}

/// Hash of the beginning of a prompt; `None` for a short prompt.
#[must_use]
pub fn prefix_hash(model: &str, prompt: &[u8]) -> Option<u64> {
    if prompt.len() < SHORTEST_SHARED_PREFIX {
        return None;
    }
    let end = prompt.len().min(PREFIX_BYTES);
    let model_seed = xxh3_64_with_seed(model.as_bytes(), PREFIX_SEED);
    Some(xxh3_64_with_seed(&prompt[..end], model_seed))
}
