//! The buckets of all tenants, in shards with a lock each.

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

/// Tenants' states by the tenants' names.
type QuotaShard = BTreeMap<String, TenantState>;

/// Buckets by tenant. A tenant without a token quota has no bucket and is never refused.
#[derive(Debug)]
pub struct TenantQuotas {
    shards: Vec<Mutex<QuotaShard>>,
    /// Time of the first report from a peer.
    started: Mutex<Option<MonotonicTime>>,
    /// Signals that peers should be notified of an admission at once.
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
    /// Admits a request of a tenant and charges its tokens.
    ///
    /// Unless the bucket is nearly full, peers are notified of each admission at once: what all nodes together admit
    /// between two updates could far exceed what is left.
    ///
    /// # Errors
    /// Returns the time until the tenant's bucket admits requests again.
    pub fn admit(&self, now: MonotonicTime, tenant: &Tenant, tokens: u64) -> Result<(), Duration> {
        let Some(quota) = limiting_quota(tenant) else {
            return Ok(());
        };
        let mut shard = self.shard_of(&tenant.name);
        let state = state_of(&mut shard, &tenant.name, quota, now);
        state.admit(now, tokens)?;
        if state.is_below_urgent_level(now) {
            self.urgent.notify_one();
        }
        Ok(())
    }

    /// Decides on a request as an owner of the tenant. `uncharged` is the number of tokens that the requesting
    /// node admitted without a reply; less than 0 if more tokens were charged than it admitted. Returns `None` if
    /// the tenant has no quota.
    pub fn grant(
        &self,
        now: MonotonicTime,
        tenant: &Tenant,
        tokens: u64,
        uncharged: i64,
    ) -> Option<Grant> {
        let quota = limiting_quota(tenant)?;
        let mut shard = self.shard_of(&tenant.name);
        let state = state_of(&mut shard, &tenant.name, quota, now);
        let grant = state.grant(now, tokens, uncharged);
        if state.is_report_due() {
            self.urgent.notify_one();
        }
        Some(grant)
    }

    /// Records that the other owners of a tenant were notified of all that this node granted.
    pub fn mark_reported(&self, tenant: &str) {
        if let Some(state) = self.shard_of(tenant).get_mut(tenant) {
            state.mark_reported();
        }
    }

    /// Waits until peers should be notified of an admission at once.
    pub async fn until_urgent(&self) {
        self.urgent.notified().await;
    }

    /// Credits the tokens of a request that did not run back to this node's bucket. Peers apply the cumulative
    /// count, which is not reduced, and keep the tokens charged.
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

    /// Charges the tokens that unresponsive peers are assumed to admit. Called at each update interval.
    pub fn tick(&self, now: MonotonicTime, own_zone: &str) {
        for shard in &self.shards {
            for state in lock(shard).values_mut() {
                state.charge_assumed(now, own_zone);
            }
        }
    }

    /// Returns this node's count of each tenant, to be reported to peers.
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

    /// Returns whether the node is warming up. The time is measured from the first report of a peer, not from the
    /// start of the process.
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

/// Returns the tenant's token quota, or `None` if the tenant has none or its rate is 0, which means unlimited.
#[must_use]
pub fn limiting_quota(tenant: &Tenant) -> Option<&TokenQuota> {
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
