//! Outcomes of claimed runs that wait to be recorded.

use std::collections::BTreeMap;

use millford_api::command::{ResolveClaim, command};
use millford_api::internal::{ShardReply, ShardRequest};
use millford_api::local::{LocalResolveClaim, LocalResolveClaimReply};
use millford_core::{MonotonicTime, ResultCode, ShardLayout, tenant_key};

use crate::forward::answer::{command_result, propose};
use crate::timing::{CLAIM_RESEND, CLAIM_RETRY};

/// Most settlements kept. One that is dropped leaves its claim as "may have run", which is safe.
pub const MAX_SETTLES: usize = 10_000;

/// Most settlements under way at once.
const WINDOW: usize = 256;

#[derive(Clone, Debug)]
struct PendingSettle {
    /// Number of the proxy's request; none for a claim that the agent itself gave up.
    local_id: Option<u64>,
    settle: ResolveClaim,
    send_at: MonotonicTime,
}

/// Sends settlements until each is acknowledged; recording one twice changes nothing.
#[derive(Clone, Debug, Default)]
pub struct SettleDesk {
    pending: BTreeMap<u64, PendingSettle>,
}

impl SettleDesk {
    /// Takes a settlement of the proxy; returns the refusal when the queue is full.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        id: u64,
        local: LocalResolveClaim,
    ) -> Option<LocalResolveClaimReply> {
        let settle = local.resolution?;
        if self.pending.len() >= MAX_SETTLES {
            return Some(LocalResolveClaimReply {
                request_id: local.request_id,
                code: ResultCode::ControlTimeout.number(),
            });
        }
        self.add(now, id, Some(local.request_id), settle);
        None
    }

    /// Takes a settlement of a claim that the agent gave up, unless the queue is full.
    pub fn submit_abandoned(&mut self, now: MonotonicTime, id: u64, settle: ResolveClaim) {
        if self.pending.len() < MAX_SETTLES {
            self.add(now, id, None, settle);
        }
    }

    /// A new connection: whatever was under way is sent again.
    pub fn link_up(&mut self, now: MonotonicTime) {
        for pending in self.pending.values_mut() {
            pending.send_at = now;
        }
    }

    /// Requests to send now, the oldest ones only.
    pub fn due(&mut self, now: MonotonicTime, layout: ShardLayout) -> Vec<ShardRequest> {
        let oldest = self.pending.iter_mut().take(WINDOW);
        let due = oldest.filter(|(_, pending)| pending.send_at <= now);
        due.map(|(id, pending)| {
            pending.send_at = now + CLAIM_RESEND;
            let shard = layout.shard_of(&tenant_key(&pending.settle.tenant));
            propose(
                shard,
                *id,
                command::Kind::ResolveClaim(pending.settle.clone()),
            )
        })
        .collect()
    }

    /// Takes a shard's answer. Returns the proxy's answer, if the settlement was the proxy's and
    /// is now recorded, and counts it in `acknowledged`.
    pub fn reply(
        &mut self,
        now: MonotonicTime,
        reply: &ShardReply,
        acknowledged: &mut u64,
    ) -> Option<LocalResolveClaimReply> {
        let pending = self.pending.get_mut(&reply.request_id)?;
        let Some(result) = command_result(reply) else {
            pending.send_at = now + CLAIM_RETRY;
            return None;
        };
        let code = result.code;
        let done = self.pending.remove(&reply.request_id)?;
        *acknowledged += 1;
        let request_id = done.local_id?;
        Some(LocalResolveClaimReply { request_id, code })
    }

    /// Number of settlements that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When something is next to be done.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        let oldest = self.pending.values().take(WINDOW);
        oldest.map(|pending| pending.send_at).min()
    }

    fn add(&mut self, now: MonotonicTime, id: u64, local_id: Option<u64>, settle: ResolveClaim) {
        let pending = PendingSettle {
            local_id,
            settle,
            send_at: now,
        };
        self.pending.insert(id, pending);
    }
}
