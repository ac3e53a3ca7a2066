//! Quota leases of all tenants of one shard. Only the shard's leader grants them.
//!
//! # Why the quota holds across a change of leader
//! Let F be [`Takeover::grants_from`]: the time of the election plus the bound within which the
//! former leader has certainly stepped down. Let E be [`Takeover::predecessor_leases_end`]: F plus
//! one lease (with its margin). The former leader grants nothing after F. What it granted before F
//! for waiting requests counts before F. Its surplus tokens, at most half a burst, may be spent
//! until E. The new leader's buckets are empty at F and contain at most the other half of the burst
//! until E.
//!
//! For a window that begins before F, the former leader's tokens and what the rate yielded until F
//! are within the bound of [`super::token_account`], and the new leader adds only what the rate
//! yielded since F. For one that begins between F and E, at most half a burst of surplus tokens and
//! half a burst of the new leader's are available at its beginning. From E on only the new leader's
//! tokens are left. So burst + rate * window holds for every window.

use std::collections::BTreeMap;

use millford_api::config::Quota;
use millford_api::internal::{QuotaReply, QuotaRequest, TenantQuotaRequest};
use millford_core::{MonotonicTime, ResultCode, ShardId};

use super::options::QuotaOptions;
use super::output::QuotaOutput;
use super::reply_cache::{EpochStatus, ReplyCache};
use super::takeover::Takeover;
use super::tenant_account::{
    RequestContext, TenantAccount, TenantPresence, TenantReply, unknown_tenant_reply,
};

/// State that a replica keeps only while it leads the shard.
#[derive(Clone, Debug)]
struct Leadership {
    term: u64,
    takeover: Takeover,
    accounts: BTreeMap<String, TenantAccount>,
    replies: ReplyCache,
    swept_at: MonotonicTime,
}

/// Quota leases of a shard's tenants. Beyond its configured limits, a tenant uses memory only while
/// it has outstanding grants, recent demand or a bucket that is not full.
#[derive(Clone, Debug)]
pub struct QuotaLeases {
    shard: ShardId,
    options: QuotaOptions,
    limits: BTreeMap<String, Quota>,
    leadership: Option<Leadership>,
}

impl QuotaLeases {
    /// Creates the leases of a replica that does not lead.
    #[must_use]
    pub fn new(shard: ShardId, options: QuotaOptions) -> Self {
        Self {
            shard,
            options,
            limits: BTreeMap::new(),
            leadership: None,
        }
    }

    /// Starts granting as the leader of `term`, elected at `now`, with no knowledge of earlier
    /// grants.
    pub fn lead(&mut self, now: MonotonicTime, term: u64) {
        self.leadership = Some(Leadership {
            term,
            takeover: Takeover::new(now, &self.options),
            accounts: BTreeMap::new(),
            replies: ReplyCache::default(),
            swept_at: now,
        });
    }

    /// Stops granting, because the replica no longer leads, and drops the record of its grants.
    pub fn resign(&mut self) {
        self.leadership = None;
    }

    /// Returns the number of tenants with an account; 0 while the replica does not lead.
    #[must_use]
    pub fn active_tenants(&self) -> usize {
        self.leadership
            .as_ref()
            .map_or(0, |leadership| leadership.accounts.len())
    }

    /// Sets a tenant's quota, or removes it when `quota` is absent, and recalls the tenant's idle
    /// tokens and slots from the nodes.
    pub fn set_quota(
        &mut self,
        now: MonotonicTime,
        tenant: &str,
        quota: Option<Quota>,
    ) -> Vec<QuotaOutput> {
        let before = match quota {
            Some(quota) => self.limits.insert(tenant.to_owned(), quota),
            None => self.limits.remove(tenant),
        };
        if before == quota {
            return Vec::new();
        }
        let Some(leadership) = &mut self.leadership else {
            return Vec::new();
        };
        let Some(account) = leadership.accounts.get_mut(tenant) else {
            return Vec::new();
        };
        // A removed tenant's account remains, with a quota of 0. If the tenant is added again, its
        // tokens are available at once, as those of a new tenant are.
        let effective = quota.unwrap_or_default();
        account.set_quota(now, &effective, &self.options);
        account.start_recalls(self.shard, now, tenant, &self.options)
    }

    /// Handles a node's request. The first output is the reply; recalls of idle tokens and slots at
    /// other nodes may follow it.
    pub fn handle(&mut self, now: MonotonicTime, request: &QuotaRequest) -> Vec<QuotaOutput> {
        let Some(leadership) = &mut self.leadership else {
            let reply = empty_reply(request, ResultCode::NotLeader, 0);
            return vec![to_output(request, reply)];
        };
        if let Some(reply) = leadership.reply_without_grants(now, request) {
            return vec![to_output(request, reply)];
        }
        let mut reply = empty_reply(request, ResultCode::Ok, leadership.term);
        let mut recalls = Vec::new();
        let context = RequestContext {
            shard: self.shard,
            now,
            takeover: leadership.takeover,
            options: &self.options,
            request,
        };
        for tenant in &request.tenants {
            let quota = self.limits.get(&tenant.tenant);
            let tenant_reply = leadership.handle_tenant(context, tenant, quota);
            reply.grants.push(tenant_reply.grant);
            recalls.extend(tenant_reply.recalls);
        }
        leadership
            .replies
            .insert(now, &request.member, reply.clone());
        let mut outputs = vec![to_output(request, reply)];
        outputs.extend(recalls);
        outputs
    }

    /// Drops idle accounts and old cached replies, once per [`QuotaOptions::sweep_interval`]. The
    /// leader calls it regularly.
    pub fn tick(&mut self, now: MonotonicTime) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if now.since(leadership.swept_at) < self.options.sweep_interval {
            return;
        }
        leadership.swept_at = now;
        leadership.sweep(now, &self.limits, &self.options);
    }
}

impl Leadership {
    /// Returns the reply to a request that is fenced, was answered before or was abandoned by its
    /// node. Returns `None` for a request that has to be processed.
    fn reply_without_grants(
        &mut self,
        now: MonotonicTime,
        request: &QuotaRequest,
    ) -> Option<QuotaReply> {
        let member = &request.member;
        match self.replies.record_contact(now, member, request.epoch) {
            EpochStatus::Older => {
                return Some(empty_reply(request, ResultCode::EpochFenced, self.term));
            }
            EpochStatus::Newer => self.supersede(now, member, request.epoch),
            EpochStatus::Current => {}
        }
        if let Some(cached) = self.replies.get(member, request.request_id) {
            return Some(cached.clone());
        }
        let outdated = self.replies.is_outdated(member, request.request_id);
        outdated.then(|| empty_reply(request, ResultCode::ControlTimeout, self.term))
    }

    fn handle_tenant(
        &mut self,
        context: RequestContext<'_>,
        request: &TenantQuotaRequest,
        quota: Option<&Quota>,
    ) -> TenantReply {
        let Some(quota) = quota else {
            return unknown_tenant_reply(request, context.options);
        };
        self.accounts
            .entry(request.tenant.clone())
            .or_insert_with(|| TenantAccount::new(quota, context.takeover, context.now))
            .handle(context, request, quota)
    }

    fn supersede(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        for account in self.accounts.values_mut() {
            account.supersede(now, member, epoch);
        }
    }

    fn sweep(
        &mut self,
        now: MonotonicTime,
        limits: &BTreeMap<String, Quota>,
        options: &QuotaOptions,
    ) {
        self.accounts.retain(|tenant, account| {
            let presence = if limits.contains_key(tenant) {
                TenantPresence::Configured
            } else {
                TenantPresence::Removed
            };
            account.advance(now, options);
            !account.is_idle(presence)
        });
        let retention = options.leader_lease();
        self.replies
            .sweep(now, retention, options.inactive_slot_timeout);
    }
}

fn empty_reply(request: &QuotaRequest, code: ResultCode, term: u64) -> QuotaReply {
    QuotaReply {
        shard: request.shard,
        request_id: request.request_id,
        code: code.number(),
        term,
        grants: Vec::new(),
    }
}

fn to_output(request: &QuotaRequest, reply: QuotaReply) -> QuotaOutput {
    QuotaOutput::Reply {
        member: request.member.clone(),
        reply,
    }
}
