//! Claims: the single run of a request that may not be repeated.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::command::{Claim, ClaimRecord, ClaimResult, RunOutcome, SettleClaim};
use millford_core::ResultCode;

use super::applied::Applied;

/// How long a claim is kept, in milliseconds of shard time: one day.
///
/// A request id that is used again after that is a new request.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Tenant and request id of a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClaimKey {
    tenant: String,
    request_id: String,
}

/// Age of a claim; orders the drop of old ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClaimAge {
    claimed_at_ms: u64,
    key: ClaimKey,
}

/// Every claim that is still kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimTable {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    ages: BTreeSet<ClaimAge>,
}

impl ClaimTable {
    /// Grants the run to the first claim, and again to the same attempt while it is unsettled.
    ///
    /// At most one attempt id is ever granted while an earlier one may have run: a second attempt
    /// is granted only after the first was settled as not run.
    pub(crate) fn claim(&mut self, claim: &Claim, now_ms: u64) -> Applied {
        let key = ClaimKey {
            tenant: claim.tenant.clone(),
            request_id: claim.request_id.clone(),
        };
        let Some(known) = self.claims.get(&key) else {
            return self.grant(key, claim, now_ms);
        };
        let same_attempt = known.attempt_id == claim.attempt_id;
        let outcome = known.outcome();
        if outcome == RunOutcome::RunNotRun && !same_attempt {
            return self.grant(key, claim, now_ms);
        }
        if outcome != RunOutcome::RunNotRun && known.digest != claim.digest {
            return Applied::code(ResultCode::IdempotencyKeyReused);
        }
        let granted = same_attempt && outcome == RunOutcome::RunUnknown;
        answer(granted, outcome)
    }

    /// Records what became of a granted attempt. The first settlement stands.
    ///
    /// An attempt that gives up before its claim was answered settles as not run; the record keeps
    /// the claim, should it still arrive, from being granted to an attempt that has ended.
    pub(crate) fn settle(&mut self, settle: &SettleClaim, now_ms: u64) -> Applied {
        let key = ClaimKey {
            tenant: settle.tenant.clone(),
            request_id: settle.request_id.clone(),
        };
        match self.claims.get_mut(&key) {
            Some(known) => settle_known(known, settle),
            None if settle.outcome() == RunOutcome::RunNotRun => {
                self.insert(key, abandoned(settle, now_ms));
            }
            None => {}
        }
        Applied::code(ResultCode::Ok)
    }

    /// Drops the claims that are older than [`CLAIM_RETENTION_MS`].
    pub(crate) fn drop_old(&mut self, now_ms: u64) {
        let horizon = now_ms.saturating_sub(CLAIM_RETENTION_MS);
        while let Some(oldest) = self.ages.first() {
            if oldest.claimed_at_ms >= horizon {
                return;
            }
            let oldest = oldest.clone();
            self.ages.remove(&oldest);
            self.claims.remove(&oldest.key);
        }
    }

    /// The claims in the order of tenant and request id.
    pub(crate) fn records(&self) -> impl Iterator<Item = &ClaimRecord> {
        self.claims.values()
    }

    /// Puts a record back, for a restore.
    pub(crate) fn restore(&mut self, record: ClaimRecord) {
        let key = ClaimKey {
            tenant: record.tenant.clone(),
            request_id: record.request_id.clone(),
        };
        self.insert(key, record);
    }

    fn grant(&mut self, key: ClaimKey, claim: &Claim, now_ms: u64) -> Applied {
        let record = ClaimRecord {
            tenant: claim.tenant.clone(),
            request_id: claim.request_id.clone(),
            attempt_id: claim.attempt_id.clone(),
            digest: claim.digest.clone(),
            outcome: RunOutcome::RunUnknown.into(),
            claimed_at_ms: now_ms,
        };
        self.insert(key, record);
        answer(true, RunOutcome::RunUnknown)
    }

    fn insert(&mut self, key: ClaimKey, record: ClaimRecord) {
        let age = ClaimAge {
            claimed_at_ms: record.claimed_at_ms,
            key: key.clone(),
        };
        if let Some(replaced) = self.claims.insert(key.clone(), record) {
            self.ages.remove(&ClaimAge {
                claimed_at_ms: replaced.claimed_at_ms,
                key,
            });
        }
        self.ages.insert(age);
    }
}

fn settle_known(known: &mut ClaimRecord, settle: &SettleClaim) {
    let open = known.outcome() == RunOutcome::RunUnknown;
    if open && known.attempt_id == settle.attempt_id {
        known.outcome = settle.outcome;
    }
}

fn abandoned(settle: &SettleClaim, now_ms: u64) -> ClaimRecord {
    ClaimRecord {
        tenant: settle.tenant.clone(),
        request_id: settle.request_id.clone(),
        attempt_id: settle.attempt_id.clone(),
        digest: Vec::new(),
        outcome: settle.outcome,
        claimed_at_ms: now_ms,
    }
}

fn answer(granted: bool, outcome: RunOutcome) -> Applied {
    let result = ClaimResult {
        granted,
        outcome: outcome.into(),
    };
    Applied::claim(ResultCode::Ok, result)
}
