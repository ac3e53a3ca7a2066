//! Hash in the place of a name that is only compared.

use sha2::{Digest, Sha256};

/// Bytes of the hash.
const LENGTH: usize = 16;

/// First half of a SHA-256.
///
/// Tenants choose request ids, so the hash must not let one of them hit another's claim on purpose;
/// 128 bits of SHA-256 do not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShortHash([u8; LENGTH]);

impl ShortHash {
    /// Hash of several parts; the length of each counts, so that no two lists look the same.
    pub(super) fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let whole = hasher.finalize();
        let mut short = [0; LENGTH];
        short.copy_from_slice(&whole[..LENGTH]);
        Self(short)
    }

    /// The hash with these bytes, as a snapshot holds it.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }

    /// The bytes, for a snapshot.
    pub(super) fn to_bytes(self) -> Vec<u8> {
        self.0.to_vec()
    }
}
