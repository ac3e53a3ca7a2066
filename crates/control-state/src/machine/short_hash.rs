//! Short hash that replaces a value that is only compared for equality.

use std::array::TryFromSliceError;

use sha2::{Digest, Sha256};

/// Length of the hash in bytes.
const LENGTH: usize = 16;

/// First half of a SHA-256 digest.
///
/// Tenants choose request ids, so a tenant must not be able to construct an id whose hash equals
/// that of another tenant's claim. 128 bits of SHA-256 prevent that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShortHash([u8; LENGTH]);

impl ShortHash {
    /// Hashes several fields. The length of each field is hashed too, so that two lists with the
    /// same concatenation have different hashes.
    pub(super) fn of(fields: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let mut short = [0; LENGTH];
        short.copy_from_slice(&digest[..LENGTH]);
        Self(short)
    }

    /// Returns the bytes of the hash, for a snapshot.
    pub(super) fn to_bytes(self) -> Vec<u8> {
        self.0.to_vec()
    }
}

/// Reads a hash from the bytes in a snapshot; fails when there are not exactly [`LENGTH`] bytes.
impl TryFrom<&[u8]> for ShortHash {
    type Error = TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Self)
    }
}
