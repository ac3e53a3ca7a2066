//! The buckets of all tenants, in shards that each have their own lock.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use millford_api::config::{Tenant, TokenQuota};
use millford_core::{Duration, MonotonicTime};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::grant::Grant;
use super::tenant_state::{NodeAge, PeerCount, TenantLevel, TenantState, WARM_UP_TIME};
use crate::lock::lock;

/// Number of shards; a power of two.
const QUOTA_SHARDS: usize = 16;

type QuotaShard = BTreeMap<String, TenantState>;

/// Buckets by tenant. A tenant without a token quota has none and is never refused.
#[derive(Debug)]
pub struct TenantQuotas {
    shards: Vec<Mutex<QuotaShard>>,
    started: Mutex<Option<MonotonicTime>>,
    urgent: Notify,
}

impl Default for TenantQuotas {
    fn default() -> Self {
        let shards = (0..QUOTA_SHARDS).map(|_| Mutex::default());
        Self {
            shards: shards.collect(),
            started: Mutex::default(),
            urgent: Notify::new(),
        }
    }
}

impl TenantQuotas {
    /// Admits a request of a tenant, or says when to come back.
    ///
    /// Near the end of the bucket the peers are notified of each admission at once: what all nodes
    /// admit between two updates would add up to far more than is left.
    ///
    /// # Errors
    /// The time until the tenant's bucket holds anything.
    pub fn admit(&self, now: MonotonicTime, tenant: &Tenant, tokens: u64) -> Result<(), Duration> {
        let Some(quota) = limiting(tenant) else {
            return Ok(());
        };
        let mut shard = self.shard_of(&tenant.name);
        let state = state_of(&mut shard, &tenant.name, quota, now);
        state.admit(now, tokens)?;
        if state.is_nearly_empty(now) {
            self.urgent.notify_one();
        }
        Ok(())
    }

    /// Decides on a request as an owner of the tenant. `uncharged` tokens were admitted by the requesting
    /// node without a reply, or were charged to it in vain where it is less than 0. `None`: the tenant has
    /// no quota.
    pub fn grant(
        &self,
        now: MonotonicTime,
        tenant: &Tenant,
        tokens: u64,
        uncharged: i64,
    ) -> Option<Grant> {
        let quota = limiting(tenant)?;
        let mut shard = self.shard_of(&tenant.name);
        let state = state_of(&mut shard, &tenant.name, quota, now);
        let grant = state.grant(now, tokens, uncharged);
        if state.is_report_due() {
            self.urgent.notify_one();
        }
        Some(grant)
    }

    /// The other owners of a tenant were notified of what this node granted.
    pub fn mark_reported(&self, tenant: &str) {
        if let Some(state) = self.shard_of(tenant).get_mut(tenant) {
            state.mark_reported();
        }
    }

    /// Resolves once peers should be notified of an admission at once.
    pub async fn until_urgent(&self) {
        self.urgent.notified().await;
    }

    /// Puts back what a request took that was never sent to a backend. The peers, who go by the
    /// cumulative count, keep it charged.
    pub fn refund(&self, now: MonotonicTime, tenant: &Tenant, tokens: u64) {
        let mut shard = self.shard_of(&tenant.name);
        if let Some(state) = shard.get_mut(&tenant.name) {
            state.refund(now, tokens);
        }
    }

    /// Applies a tenant's count that a peer reported.
    pub fn apply_peer_count(&self, now: MonotonicTime, quota: &TokenQuota, count: PeerCount<'_>) {
        let age = self.age(now);
        let mut shard = self.shard_of(count.tenant);
        let state = state_of(&mut shard, count.tenant, quota, now);
        match count.owner_zone {
            Some(_) => state.apply_owner_count(now, &count),
            None => state.apply_peer_count(now, &count, age),
        }
    }

    /// Charges what unresponsive peers are assumed to admit.
    pub fn tick(&self, now: MonotonicTime, own_zone: &str) {
        for shard in &self.shards {
            for state in lock(shard).values_mut() {
                state.charge_assumed(now, own_zone);
            }
        }
    }

    /// Counts of this node for its peers.
    #[must_use]
    pub fn levels(&self, now: MonotonicTime) -> Vec<TenantLevel> {
        let mut levels = Vec::new();
        for shard in &self.shards {
            let mut shard = lock(shard);
            let states = shard.iter_mut();
            levels.extend(states.map(|(tenant, state)| state.level(now, tenant)));
        }
        levels
    }

    /// Counted from the first call, not from the start of the process.
    fn age(&self, now: MonotonicTime) -> NodeAge {
        let started = *lock(&self.started).get_or_insert(now);
        if now.since(started) < WARM_UP_TIME {
            NodeAge::WarmingUp
        } else {
            NodeAge::Established
        }
    }

    fn shard_of(&self, tenant: &str) -> MutexGuard<'_, QuotaShard> {
        let hash = xxh3_64(tenant.as_bytes());
        let slot = usize::try_from(hash % QUOTA_SHARDS as u64).unwrap_or_default();
        lock(&self.shards[slot])
    }
}

/// The tenant's token quota if it limits anything.
#[must_use]
pub fn limiting(tenant: &Tenant) -> Option<&TokenQuota> {
    let quota = tenant.token_quota.as_ref()?;
    (quota.tokens_per_second > 0).then_some(quota)
}

fn state_of<'a>(
    shard: &'a mut QuotaShard,
    tenant: &str,
    quota: &TokenQuota,
    now: MonotonicTime,
) -> &'a mut TenantState {
    let state = shard
        .entry(tenant.to_owned())
        .or_insert_with(|| TenantState::new(quota, now));
    state.set_quota(quota, now);
    state
}
