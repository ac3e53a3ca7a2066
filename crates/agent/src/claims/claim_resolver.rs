//! Outcomes of claimed runs that wait to be recorded.

use std::collections::BTreeMap;

use millford_api::command::{ResolveClaim, command};
use millford_api::internal::{ShardReply, ShardRequest};
use millford_api::local::{LocalResolveClaim, LocalResolveClaimReply};
use millford_core::{MonotonicTime, ResultCode, ShardLayout, tenant_key};

use crate::shard_command::{command_result, propose};
use crate::timing::{CLAIM_RESEND_INTERVAL, CLAIM_RETRY_DELAY};

/// Most outcomes that wait. One that is dropped leaves its claim as "may have run", which is safe.
pub const MAX_PENDING_RESOLUTIONS: usize = 10_000;

/// Most outcomes in flight at once.
const MAX_IN_FLIGHT: usize = 256;

#[derive(Clone, Debug)]
struct PendingResolution {
    /// Id of the proxy's request; none for a claim that the agent itself abandoned.
    local_id: Option<u64>,
    resolution: ResolveClaim,
    send_at: MonotonicTime,
}

/// Sends the outcomes of claims until each is acknowledged; recording one twice changes nothing.
#[derive(Clone, Debug, Default)]
pub struct ClaimResolver {
    /// By request id, and so in the order of submission.
    pending: BTreeMap<u64, PendingResolution>,
}

impl ClaimResolver {
    /// Takes an outcome from the proxy; returns the refusal when the queue is full.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        id: u64,
        local: LocalResolveClaim,
    ) -> Option<LocalResolveClaimReply> {
        let resolution = local.resolution?;
        if self.pending.len() >= MAX_PENDING_RESOLUTIONS {
            return Some(LocalResolveClaimReply {
                request_id: local.request_id,
                code: ResultCode::ControlTimeout.number(),
            });
        }
        self.add(now, id, Some(local.request_id), resolution);
        None
    }

    /// Takes the outcome of a claim that the agent abandoned, unless the queue is full.
    pub fn submit_abandoned(&mut self, now: MonotonicTime, id: u64, resolution: ResolveClaim) {
        if self.pending.len() < MAX_PENDING_RESOLUTIONS {
            self.add(now, id, None, resolution);
        }
    }

    /// A new connection: every outcome in flight may be lost and is due again.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for pending in self.pending.values_mut() {
            pending.send_at = now;
        }
    }

    /// Requests to send now, among the oldest ones that may be in flight.
    pub fn due(&mut self, now: MonotonicTime, layout: ShardLayout) -> Vec<ShardRequest> {
        let oldest = self.pending.iter_mut().take(MAX_IN_FLIGHT);
        let due = oldest.filter(|(_, pending)| pending.send_at <= now);
        due.map(|(id, pending)| {
            pending.send_at = now + CLAIM_RESEND_INTERVAL;
            let shard = layout.shard_of(&tenant_key(&pending.resolution.tenant));
            let command = command::Kind::ResolveClaim(pending.resolution.clone());
            propose(shard, *id, command)
        })
        .collect()
    }

    /// Takes a shard's answer. Counts in `acknowledged` that an outcome is now recorded, and returns
    /// the proxy's answer if the outcome was the proxy's.
    pub fn reply(
        &mut self,
        now: MonotonicTime,
        reply: &ShardReply,
        acknowledged: &mut u64,
    ) -> Option<LocalResolveClaimReply> {
        let pending = self.pending.get_mut(&reply.request_id)?;
        let Some(result) = command_result(reply) else {
            pending.send_at = now + CLAIM_RETRY_DELAY;
            return None;
        };
        let code = result.code;
        let done = self.pending.remove(&reply.request_id)?;
        *acknowledged += 1;
        let request_id = done.local_id?;
        Some(LocalResolveClaimReply { request_id, code })
    }

    /// Number of outcomes that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When something is next due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        let oldest = self.pending.values().take(MAX_IN_FLIGHT);
        oldest.map(|pending| pending.send_at).min()
    }

    fn add(
        &mut self,
        now: MonotonicTime,
        id: u64,
        local_id: Option<u64>,
        resolution: ResolveClaim,
    ) {
        let pending = PendingResolution {
            local_id,
            resolution,
            send_at: now,
        };
        self.pending.insert(id, pending);
    }
}
