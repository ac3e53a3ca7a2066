//! Sends the outcomes of claimed runs to their shards.

use std::collections::BTreeMap;

use millford_api::command::{ResolveClaim, command};
use millford_api::internal::{ShardReply, ShardRequest};
use millford_api::local::{LocalResolveClaim, LocalResolveClaimReply};
use millford_core::{MonotonicTime, ResultCode, ShardLayout, tenant_key};

use crate::shard_command::{command_result, propose};
use crate::timing::{CLAIM_RESEND_INTERVAL, CLAIM_RETRY_DELAY};

/// Capacity of the queue. Dropping an outcome is safe: its claim then remains "may have run".
pub const MAX_PENDING_RESOLUTIONS: usize = 10_000;

/// Largest number of outcomes in flight at the same time.
const MAX_IN_FLIGHT: usize = 256;

#[derive(Clone, Debug)]
struct PendingResolution {
    /// Request id assigned by the proxy; `None` for a claim that the agent itself abandoned.
    local_id: Option<u64>,
    resolution: ResolveClaim,
    send_at: MonotonicTime,
}

/// Outcomes that have not been acknowledged yet. Each is sent again until it is acknowledged;
/// recording an outcome is idempotent.
#[derive(Clone, Debug, Default)]
pub struct ClaimResolver {
    /// By request id, which is also the order of submission.
    pending: BTreeMap<u64, PendingResolution>,
}

impl ClaimResolver {
    /// Queues an outcome from the proxy, to be sent with request id `id`. Returns the refusal for
    /// the proxy if the queue is full. A message without an outcome is ignored.
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

    /// Queues the outcome of a claim that the agent abandoned. Drops it if the queue is full.
    pub fn submit_abandoned(&mut self, now: MonotonicTime, id: u64, resolution: ResolveClaim) {
        if self.pending.len() < MAX_PENDING_RESOLUTIONS {
            self.add(now, id, None, resolution);
        }
    }

    /// Makes every outcome due again on a new connection, since those in flight may be lost.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for pending in self.pending.values_mut() {
            pending.send_at = now;
        }
    }

    /// Returns the requests to send now, among the oldest `MAX_IN_FLIGHT` outcomes.
    pub fn due_requests(&mut self, now: MonotonicTime, layout: ShardLayout) -> Vec<ShardRequest> {
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

    /// Handles a shard's reply. Increments `acknowledged` if the reply acknowledges an outcome, and
    /// returns the reply for the proxy if the outcome came from the proxy. An outcome that the
    /// shard did not execute is sent again.
    pub fn handle_reply(
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

    /// Returns the number of unacknowledged outcomes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether every outcome has been acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns when an outcome next has to be sent.
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
