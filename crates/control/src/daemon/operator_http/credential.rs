//! The operators' credential.

use sha2::{Digest, Sha256};
use warp::http::HeaderMap;
use warp::http::header::AUTHORIZATION;

/// SHA-256 of the operator key. The key itself is not stored.
#[derive(Clone, Debug)]
pub struct OperatorCredential {
    hash: Vec<u8>,
}

impl OperatorCredential {
    /// Creates the credential from the hexadecimal hash in the settings. An invalid hash admits no
    /// request.
    #[must_use]
    pub fn new(hash: &str) -> Self {
        Self {
            hash: hex::decode(hash).unwrap_or_default(),
        }
    }

    /// Whether the request carries the key.
    #[must_use]
    pub fn admits(&self, headers: &HeaderMap) -> bool {
        let header = headers.get(AUTHORIZATION);
        let text = header.and_then(|header| header.to_str().ok());
        let Some(key) = text.and_then(|text| text.strip_prefix("Bearer ")) else {
            return false;
        };
        constant_time_eq(&Sha256::digest(key.as_bytes()), &self.hash)
    }
}

/// Compares in constant time, so that the duration does not reveal where the first difference is.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let pairs = left.iter().zip(right);
    let difference = pairs.fold(0, |sum, (left, right)| sum | (left ^ right));
    std::hint::black_box(difference) == 0
}
