//! Claims, which ensure that a request that may not be repeated runs at most once.

use std::collections::{BTreeMap, VecDeque};

use millford_api::command::{Claim, ClaimRecord, ClaimResult, ResolveClaim, RunOutcome};
use millford_core::ResultCode;

use super::applied::Applied;
use super::restore_error::RestoreError;
use super::short_hash::ShortHash;
use super::stored_claim::{StoredClaim, attempt_hash, digest_hash, key_hash};

/// How long a claim is retained, in milliseconds of shard time: one day.
///
/// A request id that is used again later is treated as a new request.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Time at which a key was claimed. Outdated once the key has been claimed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClaimAge {
    claimed_at_ms: u64,
    key: ShortHash,
}

/// All retained claims, by the hash of tenant and request id.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimTable {
    claims: BTreeMap<ShortHash, StoredClaim>,
    /// Oldest first, because shard time never decreases.
    ages: VecDeque<ClaimAge>,
}

impl ClaimTable {
    /// Grants the run to the first attempt that claims it, and again to the same attempt while the
    /// claim is unresolved.
    ///
    /// Safety: at most one attempt id is ever granted while an earlier one may have run. A second
    /// attempt is granted only after the first was resolved as not run.
    pub(crate) fn claim(&mut self, claim: &Claim, now_ms: u64) -> Applied {
        let key = key_hash(&claim.tenant, &claim.request_id);
        let Some(known) = self.claims.get(&key) else {
            return self.grant(key, claim, now_ms);
        };
        let same_attempt = known.attempt == attempt_hash(&claim.attempt_id);
        let outcome = known.outcome;
        if outcome == RunOutcome::RunNotRun && !same_attempt {
            return self.grant(key, claim, now_ms);
        }
        if outcome != RunOutcome::RunNotRun && known.digest != digest_hash(&claim.digest) {
            return Applied::code(ResultCode::IdempotencyKeyReused);
        }
        let granted = same_attempt && outcome == RunOutcome::RunUnknown;
        reply(granted, outcome)
    }

    /// Records the outcome of a granted attempt. Later resolutions change nothing.
    ///
    /// An attempt that is abandoned before its claim was answered resolves the claim as not run. If
    /// the claim has not arrived yet, a tombstone is stored, so that the claim is not granted to an
    /// attempt that has ended.
    pub(crate) fn resolve(&mut self, resolve: &ResolveClaim, now_ms: u64) -> Applied {
        let key = key_hash(&resolve.tenant, &resolve.request_id);
        match self.claims.get_mut(&key) {
            Some(known) => resolve_stored(known, resolve),
            None if resolve.outcome() == RunOutcome::RunNotRun => {
                self.insert(key, StoredClaim::abandoned(resolve, now_ms));
            }
            None => {}
        }
        Applied::code(ResultCode::Ok)
    }

    /// Drops the claims that are older than [`CLAIM_RETENTION_MS`].
    pub(crate) fn drop_expired(&mut self, now_ms: u64) {
        let horizon = now_ms.saturating_sub(CLAIM_RETENTION_MS);
        while let Some(oldest) = self.ages.front().copied() {
            if oldest.claimed_at_ms >= horizon {
                return;
            }
            self.ages.pop_front();
            let stored = self.claims.get(&oldest.key);
            if stored.is_some_and(|stored| stored.claimed_at_ms == oldest.claimed_at_ms) {
                self.claims.remove(&oldest.key);
            }
        }
    }

    /// Returns the number of retained claims, including tombstones.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns the claims sorted by key, for a snapshot.
    pub(crate) fn records(&self) -> Vec<ClaimRecord> {
        let claims = self.claims.iter();
        claims.map(|(key, stored)| stored.to_record(*key)).collect()
    }

    /// Builds the table from a snapshot's records.
    ///
    /// # Errors
    /// [`RestoreError::MalformedClaim`] when a hash of a record has the wrong length.
    pub(crate) fn from_records(records: &[ClaimRecord]) -> Result<Self, RestoreError> {
        let mut claims = BTreeMap::new();
        let mut ages = Vec::with_capacity(records.len());
        for record in records {
            let key = ShortHash::try_from(record.key.as_slice())?;
            claims.insert(key, StoredClaim::try_from(record)?);
            ages.push(ClaimAge {
                claimed_at_ms: record.claimed_at_ms,
                key,
            });
        }
        ages.sort_unstable();
        Ok(Self {
            claims,
            ages: ages.into(),
        })
    }

    fn grant(&mut self, key: ShortHash, claim: &Claim, now_ms: u64) -> Applied {
        self.insert(key, StoredClaim::granted(claim, now_ms));
        reply(true, RunOutcome::RunUnknown)
    }

    fn insert(&mut self, key: ShortHash, claim: StoredClaim) {
        self.claims.insert(key, claim);
        self.ages.push_back(ClaimAge {
            claimed_at_ms: claim.claimed_at_ms,
            key,
        });
    }
}

fn resolve_stored(known: &mut StoredClaim, resolve: &ResolveClaim) {
    let unresolved = known.outcome == RunOutcome::RunUnknown;
    if unresolved && known.attempt == attempt_hash(&resolve.attempt_id) {
        known.outcome = resolve.outcome();
    }
}

fn reply(granted: bool, outcome: RunOutcome) -> Applied {
    let result = ClaimResult {
        granted,
        outcome: outcome.into(),
    };
    Applied::claim(result)
}
