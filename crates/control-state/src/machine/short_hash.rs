//! Short hash in place of a value that is only compared for equality.

use std::array::TryFromSliceError;

use sha2::{Digest, Sha256};

/// Length of the hash in bytes.
const LENGTH: usize = 16;

/// First half of a SHA-256.
///
/// Tenants choose request ids, so the hash must not let one of them hit another's claim on purpose;
/// 128 bits of SHA-256 do not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShortHash([u8; LENGTH]);

impl ShortHash {
    /// Hash of several fields; the length of each is hashed too, so that no two lists collide by
    /// their concatenation.
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

    /// The bytes, for a snapshot.
    pub(super) fn to_bytes(self) -> Vec<u8> {
        self.0.to_vec()
    }
}

/// The hash with these bytes, as a snapshot stores it; an error when their number is wrong.
impl TryFrom<&[u8]> for ShortHash {
    type Error = TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Self)
    }
}
