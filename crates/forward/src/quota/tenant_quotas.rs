//! The buckets of all tenants, in shards that each have their own lock.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use millford_api::config::{Tenant, TokenQuota};
use millford_core::{Duration, MonotonicTime};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::cluster_bucket::ClusterBucket;
use super::peer_usage::PeerUsage;

/// Number of shards; a power of two.
const QUOTA_SHARDS: usize = 16;

/// Up to this many peers hear of admissions while a bucket is hardly touched.
const FEW_PEERS: usize = 16;

/// Share of the burst below which few peers hear of each admission at once.
const LOW_SHARE_OF_FEW: f64 = 0.95;

/// As [`LOW_SHARE_OF_FEW`], for many peers: each admission costs as many datagrams.
const LOW_SHARE_OF_MANY: f64 = 0.5;

/// A node that has run for less takes over what its peers believe to be left.
const YOUNG_FOR: Duration = Duration::from_secs(2);

/// One tenant's count as a peer tells it.
#[derive(Clone, Copy, Debug)]
pub struct PeerCount<'a> {
    /// Name of the peer.
    pub member: &'a str,
    /// Which start of the peer.
    pub boot_id: u64,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Tokens that it admitted since its start.
    pub used_tokens: u64,
    /// What it believes to be left.
    pub level_tokens: i64,
}

/// One tenant's count of this node, for its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLevel {
    /// Name of the tenant.
    pub tenant: String,
    /// Tokens admitted here since the start.
    pub used_tokens: u64,
    /// What this node believes to be left.
    pub level_tokens: i64,
}

#[derive(Debug)]
struct TenantState {
    quota: TokenQuota,
    bucket: ClusterBucket,
    used: u64,
    peers: BTreeMap<String, PeerUsage>,
}

type QuotaShard = BTreeMap<String, TenantState>;

/// Buckets by tenant. A tenant without a token quota has none and is never refused.
#[derive(Debug)]
pub struct TenantQuotas {
    shards: Vec<Mutex<QuotaShard>>,
    started: Mutex<Option<MonotonicTime>>,
    urgent: Notify,
    has_many_peers: AtomicBool,
}

impl Default for TenantQuotas {
    fn default() -> Self {
        let shards = (0..QUOTA_SHARDS).map(|_| Mutex::default());
        Self {
            shards: shards.collect(),
            started: Mutex::default(),
            urgent: Notify::new(),
            has_many_peers: AtomicBool::new(false),
        }
    }
}

impl TenantQuotas {
    /// Admits a request of a tenant, or says when to come back.
    ///
    /// Near the end of the bucket the peers are to hear of each admission at once: what all nodes
    /// admit between two rounds of news would add up to far more than is left.
    ///
    /// # Errors
    /// The time until the tenant's bucket holds anything.
    pub fn admit(&self, now: MonotonicTime, tenant: &Tenant, tokens: u64) -> Result<(), Duration> {
        let Some(quota) = limiting(tenant) else {
            return Ok(());
        };
        let mut shard = self.lock(&tenant.name);
        let state = state_of(&mut shard, &tenant.name, quota, now);
        state.bucket.admit(now, tokens)?;
        state.used += tokens;
        let low_share = match self.has_many_peers.load(Ordering::Relaxed) {
            true => LOW_SHARE_OF_MANY,
            false => LOW_SHARE_OF_FEW,
        };
        if state.bucket.is_below(now, low_share) {
            self.urgent.notify_one();
        }
        Ok(())
    }

    /// Notes how many peers hear of each admission.
    pub fn set_peers(&self, count: usize) {
        let many = count > FEW_PEERS;
        self.has_many_peers.store(many, Ordering::Relaxed);
    }

    /// Resolves once peers should hear of an admission at once.
    pub async fn until_urgent(&self) {
        self.urgent.notified().await;
    }

    /// Gives back what a request took that never left for a backend. The peers, who go by the
    /// cumulative count, keep it charged.
    pub fn give_back(&self, now: MonotonicTime, tenant: &Tenant, tokens: u64) {
        let mut shard = self.lock(&tenant.name);
        if let Some(state) = shard.get_mut(&tenant.name) {
            let tokens = tokens.min(state.used);
            state.bucket.give_back(now, tokens);
        }
    }

    /// A peer told a tenant's count.
    pub fn peer_count(&self, now: MonotonicTime, quota: &TokenQuota, count: PeerCount<'_>) {
        let young = self.is_young(now);
        let mut shard = self.lock(count.tenant);
        let state = state_of(&mut shard, count.tenant, quota, now);
        match state.peers.get_mut(count.member) {
            Some(peer) => {
                let charge = peer.heard(count.boot_id, count.used_tokens, now);
                state.bucket.charge(now, charge);
                if peer.is_settled() {
                    state.bucket.agree(now, count.level_tokens as f64);
                }
            }
            None => {
                let peer = PeerUsage::first(count.boot_id, count.used_tokens, now);
                state.peers.insert(count.member.to_owned(), peer);
                if young {
                    state.bucket.lower_to(now, count.level_tokens as f64);
                } else {
                    // A node that has just started: all that it admitted is news.
                    state.bucket.charge(now, count.used_tokens as f64);
                }
            }
        }
    }

    /// Charges what silent peers are assumed to admit.
    pub fn tick(&self, now: MonotonicTime) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for state in shard.values_mut() {
                let assumed: f64 = state.peers.values_mut().map(|peer| peer.assume(now)).sum();
                if assumed > 0.0 {
                    state.bucket.charge(now, assumed);
                }
            }
        }
    }

    /// Counts of this node for its peers.
    #[must_use]
    pub fn levels(&self, now: MonotonicTime) -> Vec<TenantLevel> {
        let mut levels = Vec::new();
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            levels.extend(shard.iter_mut().map(|(tenant, state)| TenantLevel {
                tenant: tenant.clone(),
                used_tokens: state.used,
                level_tokens: state.bucket.level(now) as i64,
            }));
        }
        levels
    }

    /// Whether this node has only just begun to count.
    fn is_young(&self, now: MonotonicTime) -> bool {
        let mut started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        now.since(*started.get_or_insert(now)) < YOUNG_FOR
    }

    fn lock(&self, tenant: &str) -> MutexGuard<'_, QuotaShard> {
        let hash = xxh3_64(tenant.as_bytes());
        let slot = usize::try_from(hash % QUOTA_SHARDS as u64).unwrap_or_default();
        self.shards[slot]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
        .or_insert_with(|| TenantState {
            quota: *quota,
            bucket: ClusterBucket::new(quota, now),
            used: 0,
            peers: BTreeMap::new(),
        });
    if state.quota != *quota {
        state.quota = *quota;
        state.bucket.set_quota(quota, now);
    }
    state
}
