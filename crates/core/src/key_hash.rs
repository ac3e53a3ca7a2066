//! Hashes tenant keys. A key itself is never stored, logged or forwarded.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 hash of a tenant key in lower-case hexadecimal, the form in which
/// configurations list keys.
#[must_use]
pub fn hash_tenant_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}
