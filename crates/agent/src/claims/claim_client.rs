//! Claims that wait for their shard's answer.

use std::collections::BTreeMap;

use millford_api::command::{Claim, ResolveClaim, RunOutcome, command};
use millford_api::internal::{ShardReply, ShardRequest};
use millford_api::local::{LocalClaim, LocalClaimReply};
use millford_core::{Duration, MonotonicTime, ResultCode, ShardLayout, tenant_key};

use crate::shard_command::{claim_result, command_result, propose};
use crate::timing::{CLAIM_RESEND_INTERVAL, CLAIM_RETRY_DELAY};

#[derive(Clone, Debug)]
struct PendingClaim {
    /// Id that the proxy gave to its request.
    local_id: u64,
    claim: Claim,
    deadline: MonotonicTime,
    send_at: MonotonicTime,
}

/// A claim that was abandoned: whether it was recorded is not known.
#[derive(Clone, Debug, PartialEq)]
pub struct AbandonedClaim {
    /// Refusal for the proxy; the request was not run and will not be.
    pub reply: LocalClaimReply,
    /// Releases the claim again, should it have been recorded.
    pub resolution: ResolveClaim,
}

/// Sends claims again, under the same attempt id, until they are answered or their deadline passes.
///
/// A claim with the same attempt id is granted again, so sending it twice reserves one run.
#[derive(Clone, Debug, Default)]
pub struct ClaimClient {
    pending: BTreeMap<u64, PendingClaim>,
}

impl ClaimClient {
    /// Takes a claim of the proxy under the request id `id`. One without content is ignored.
    pub fn submit(&mut self, now: MonotonicTime, id: u64, local: LocalClaim) {
        let Some(claim) = local.claim else { return };
        let pending = PendingClaim {
            local_id: local.request_id,
            claim,
            deadline: now + Duration::from_millis(u64::from(local.timeout_ms)),
            send_at: now,
        };
        self.pending.insert(id, pending);
    }

    /// A new connection: every claim in flight may be lost and is due again.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for pending in self.pending.values_mut() {
            pending.send_at = now;
        }
    }

    /// Requests to send now.
    pub fn due(&mut self, now: MonotonicTime, layout: ShardLayout) -> Vec<ShardRequest> {
        let pending = self.pending.iter_mut();
        let due = pending.filter(|(_, pending)| pending.send_at <= now);
        due.map(|(id, pending)| {
            pending.send_at = now + CLAIM_RESEND_INTERVAL;
            let shard = layout.shard_of(&tenant_key(&pending.claim.tenant));
            propose(shard, *id, command::Kind::Claim(pending.claim.clone()))
        })
        .collect()
    }

    /// Takes a shard's answer; returns the proxy's, if this decides the claim.
    pub fn reply(&mut self, now: MonotonicTime, reply: &ShardReply) -> Option<LocalClaimReply> {
        let pending = self.pending.get_mut(&reply.request_id)?;
        let Some(result) = command_result(reply) else {
            pending.send_at = now + CLAIM_RETRY_DELAY;
            return None;
        };
        let answer = LocalClaimReply {
            request_id: pending.local_id,
            code: result.code,
            result: claim_result(result),
        };
        self.pending.remove(&reply.request_id);
        Some(answer)
    }

    /// Removes the claims whose deadline has passed.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<AbandonedClaim> {
        let pending = self.pending.iter();
        let overdue: Vec<u64> = pending
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        let overdue = overdue.into_iter();
        let removed = overdue.filter_map(|id| self.pending.remove(&id));
        removed.map(abandon).collect()
    }

    /// The proxy is disconnected: nobody waits for its claims any more.
    pub fn cancel_all(&mut self) {
        self.pending.clear();
    }

    /// When something is next due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        let pending = self.pending.values();
        pending
            .map(|pending| pending.send_at.min(pending.deadline))
            .min()
    }
}

fn abandon(pending: PendingClaim) -> AbandonedClaim {
    AbandonedClaim {
        reply: LocalClaimReply {
            request_id: pending.local_id,
            code: ResultCode::ClaimUnavailable.number(),
            result: None,
        },
        resolution: ResolveClaim {
            tenant: pending.claim.tenant,
            request_id: pending.claim.request_id,
            attempt_id: pending.claim.attempt_id,
            outcome: RunOutcome::RunNotRun.into(),
        },
    }
}
