//! Hash of a tenant's key. The key itself is never stored, logged or forwarded.

use sha2::{Digest, Sha256};

/// SHA-256 of the key in lower-case hexadecimal, as configurations list it.
#[must_use]
pub fn hash_tenant_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}
