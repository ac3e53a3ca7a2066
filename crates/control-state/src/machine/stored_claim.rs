//! Stored form of one claim.

use std::array::TryFromSliceError;

use millford_api::command::{Claim, ClaimRecord, ResolveClaim, RunOutcome};

use super::short_hash::ShortHash;

/// Outcome of a claimed run, with the hashes by which a repeated claim is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StoredClaim {
    pub(super) attempt: ShortHash,
    pub(super) digest: ShortHash,
    pub(super) outcome: RunOutcome,
    pub(super) claimed_at_ms: u64,
}

impl StoredClaim {
    /// Creates a claim that is granted at `now_ms` of shard time.
    pub(super) fn granted(claim: &Claim, now_ms: u64) -> Self {
        Self {
            attempt: attempt_hash(&claim.attempt_id),
            digest: digest_hash(&claim.digest),
            outcome: RunOutcome::RunUnknown,
            claimed_at_ms: now_ms,
        }
    }

    /// Creates the tombstone of an attempt that was abandoned before its claim arrived.
    pub(super) fn abandoned(resolve: &ResolveClaim, now_ms: u64) -> Self {
        Self {
            attempt: attempt_hash(&resolve.attempt_id),
            digest: ShortHash::default(),
            outcome: RunOutcome::RunNotRun,
            claimed_at_ms: now_ms,
        }
    }

    /// Converts the claim to a snapshot's record.
    pub(super) fn to_record(self, key: ShortHash) -> ClaimRecord {
        ClaimRecord {
            key: key.to_bytes(),
            attempt: self.attempt.to_bytes(),
            digest: self.digest.to_bytes(),
            outcome: self.outcome.into(),
            claimed_at_ms: self.claimed_at_ms,
        }
    }
}

/// Reads a claim from a snapshot's record; fails when a hash has the wrong length.
impl TryFrom<&ClaimRecord> for StoredClaim {
    type Error = TryFromSliceError;

    fn try_from(record: &ClaimRecord) -> Result<Self, Self::Error> {
        Ok(Self {
            attempt: ShortHash::try_from(record.attempt.as_slice())?,
            digest: ShortHash::try_from(record.digest.as_slice())?,
            outcome: record.outcome(),
            claimed_at_ms: record.claimed_at_ms,
        })
    }
}

/// Hashes tenant and request id, the key of a claim.
pub(super) fn key_hash(tenant: &str, request_id: &str) -> ShortHash {
    ShortHash::of(&[tenant.as_bytes(), request_id.as_bytes()])
}

/// Hashes an attempt id.
pub(super) fn attempt_hash(attempt_id: &str) -> ShortHash {
    ShortHash::of(&[attempt_id.as_bytes()])
}

/// Hashes the digest of a request body.
pub(super) fn digest_hash(digest: &[u8]) -> ShortHash {
    ShortHash::of(&[digest])
}
