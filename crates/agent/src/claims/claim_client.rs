//! Sends the proxy's claims to their shards.

use std::collections::BTreeMap;

use millford_api::command::{Claim, ResolveClaim, RunOutcome, command};
use millford_api::internal::{ShardReply, ShardRequest};
use millford_api::local::{LocalClaim, LocalClaimReply};
use millford_core::{Duration, MonotonicTime, ResultCode, ShardLayout, tenant_key};

use crate::shard_command::{claim_result, command_result, propose};
use crate::timing::{CLAIM_RESEND_INTERVAL, CLAIM_RETRY_DELAY};

#[derive(Clone, Debug)]
struct PendingClaim {
    /// Request id assigned by the proxy.
    local_id: u64,
    claim: Claim,
    deadline: MonotonicTime,
    send_at: MonotonicTime,
}

/// A claim that was abandoned at its deadline. The shard may or may not have recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct AbandonedClaim {
    /// Refusal for the proxy, which then does not run the request.
    pub reply: LocalClaimReply,
    /// Command that releases the claim in case the shard recorded it.
    pub resolution: ResolveClaim,
}

/// Claims that have not been answered yet. Each is sent again with the same attempt id until it is
/// answered or its deadline passes.
///
/// A shard grants a repeated claim with the same attempt id again, so sending it twice reserves one
/// run.
#[derive(Clone, Debug, Default)]
pub struct ClaimClient {
    pending: BTreeMap<u64, PendingClaim>,
}

impl ClaimClient {
    /// Queues a claim from the proxy, to be sent with request id `id`. A message without a claim is
    /// ignored.
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

    /// Makes every claim due again on a new connection, since those in flight may be lost.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for pending in self.pending.values_mut() {
            pending.send_at = now;
        }
    }

    /// Returns the requests to send now.
    pub fn due_requests(&mut self, now: MonotonicTime, layout: ShardLayout) -> Vec<ShardRequest> {
        let pending = self.pending.iter_mut();
        let due = pending.filter(|(_, pending)| pending.send_at <= now);
        due.map(|(id, pending)| {
            pending.send_at = now + CLAIM_RESEND_INTERVAL;
            let shard = layout.shard_of(&tenant_key(&pending.claim.tenant));
            propose(shard, *id, command::Kind::Claim(pending.claim.clone()))
        })
        .collect()
    }

    /// Handles a shard's reply. Returns the reply for the proxy, or `None` if the reply belongs to
    /// no claim or the shard did not execute the command; the claim is then sent again.
    pub fn handle_reply(
        &mut self,
        now: MonotonicTime,
        reply: &ShardReply,
    ) -> Option<LocalClaimReply> {
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

    /// Removes and returns the claims whose deadline has passed.
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

    /// Drops all claims after the proxy has disconnected.
    pub fn cancel_all(&mut self) {
        self.pending.clear();
    }

    /// Returns when a claim next has to be sent or expires.
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
