//! The buckets of all tenants, in shards that each have their own lock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use millford_api::config::{Tenant, TokenQuota};
use millford_core::{Duration, MonotonicTime};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::cluster_bucket::ClusterBucket;
use super::grant::Grant;
use super::peer_usage::{PARTITION_GAP, PeerUsage};
use super::usage_meter::UsageMeter;

/// Number of shards; a power of two.
const QUOTA_SHARDS: usize = 16;

/// Share of the burst below which few peers hear of each admission at once.
const URGENT_LEVEL_SHARE: f64 = 0.95;

/// Part of the burst that an owner may have granted before the other owners hear of it at once.
const MAX_UNREPORTED_SHARE: f64 = 1.0 / 32.0;

/// A node that has run for less takes over what its peers believe to be left.
const WARM_UP_TIME: Duration = Duration::from_secs(2);

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
    /// For how long it has counted the tenant's tokens. Unknown with peers of an earlier version.
    pub counted_for: Option<Duration>,
    /// Zone of the peer if it tells as an owner of the tenant what it granted.
    pub owner_zone: Option<&'a str>,
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
    /// For how long this node has counted.
    pub counted_for: Duration,
}

#[derive(Debug)]
struct Peer {
    usage: PeerUsage,
    /// Zone of an owner.
    owner_zone: Option<String>,
}

#[derive(Debug)]
struct TenantState {
    quota: TokenQuota,
    bucket: ClusterBucket,
    meter: UsageMeter,
    since: MonotonicTime,
    used: u64,
    /// Granted since the other owners were told.
    unreported: u64,
    /// Last news of another owner.
    owner_received_at: MonotonicTime,
    /// Until then another owner's belief goes before this node's, which may have missed grants.
    defers_until: MonotonicTime,
    peers: BTreeMap<String, Peer>,
}

impl TenantState {
    fn new(quota: &TokenQuota, now: MonotonicTime) -> Self {
        Self {
            quota: *quota,
            bucket: ClusterBucket::new(quota, now),
            meter: UsageMeter::new(now),
            since: now,
            used: 0,
            unreported: 0,
            owner_received_at: now,
            defers_until: now + WARM_UP_TIME,
            peers: BTreeMap::new(),
        }
    }

    fn charge(&mut self, now: MonotonicTime, tokens: f64) {
        self.bucket.charge(now, tokens);
        self.meter.add(now, tokens);
    }

    fn record_own(&mut self, now: MonotonicTime, tokens: u64) {
        self.used = self.used.saturating_add(tokens);
        self.unreported = self.unreported.saturating_add(tokens);
        self.meter.add(now, tokens as f64);
    }

    /// An owner's count. Owners hear each other at least once a second.
    ///
    /// Where news were missed, what was admitted meanwhile is past, and was partly refilled since:
    /// the lower belief counts, and not the sum.
    fn owner_count(&mut self, now: MonotonicTime, count: &PeerCount<'_>, zone: &str) {
        if now.since(self.owner_received_at) > PARTITION_GAP {
            self.defers_until = now + WARM_UP_TIME;
        }
        self.owner_received_at = now;
        let level = count.level_tokens as f64;
        let known = self.peers.get_mut(count.member);
        let continuous = known.filter(|peer| peer.usage.is_continuous(count.boot_id, now));
        if let Some(peer) = continuous {
            peer.owner_zone = Some(zone.to_owned());
            let charge = peer
                .usage
                .record_count(count.boot_id, count.used_tokens, now);
            let is_stable = peer.usage.is_stable();
            self.charge(now, charge);
            if is_stable {
                self.bucket.agree(now, level);
            }
        } else {
            let peer = Peer {
                usage: PeerUsage::first(count.boot_id, count.used_tokens, now),
                owner_zone: Some(zone.to_owned()),
            };
            self.peers.insert(count.member.to_owned(), peer);
            match is_recent(count) {
                true => self.charge(now, count.used_tokens as f64),
                false => self.bucket.lower_to(now, level),
            }
        }
        if now < self.defers_until {
            self.bucket.lower_to(now, level);
        }
    }

    /// Charges what silent peers are assumed to admit. An owner whose zone is heard of through another
    /// owner, or is this node's own, has gone: who asked it asks that other one.
    fn assume(&mut self, now: MonotonicTime, own_zone: &str) {
        let heard = self
            .peers
            .values()
            .filter(|peer| !peer.usage.is_unresponsive(now));
        let mut heard: BTreeSet<String> =
            heard.filter_map(|peer| peer.owner_zone.clone()).collect();
        heard.insert(own_zone.to_owned());
        let max_rate = self.bucket.max_rate();
        let mut assumed = 0.0;
        for peer in self.peers.values_mut() {
            let zone = peer.owner_zone.as_ref();
            let replaced = zone.is_some_and(|zone| heard.contains(zone));
            if replaced && peer.usage.is_unresponsive(now) {
                assumed -= peer.usage.withdraw_assumed(now);
            } else {
                assumed += peer.usage.assume(now, max_rate);
            }
        }
        if assumed != 0.0 {
            self.bucket.charge(now, assumed);
        }
    }
}

/// Whether all that a peer counted is news.
fn is_recent(count: &PeerCount<'_>) -> bool {
    count.counted_for.is_none_or(|since| since < WARM_UP_TIME)
}

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
        state.record_own(now, tokens);
        if state.bucket.is_below(now, URGENT_LEVEL_SHARE) {
            self.urgent.notify_one();
        }
        Ok(())
    }

    /// Decides on a request as an owner of the tenant. `uncharged` tokens were admitted by the asking node
    /// without an answer, or were charged to it in vain where it is less than 0.
    pub fn grant(
        &self,
        now: MonotonicTime,
        tenant: &Tenant,
        tokens: u64,
        uncharged: i64,
    ) -> Option<Grant> {
        let quota = limiting(tenant)?;
        let mut shard = self.lock(&tenant.name);
        let state = state_of(&mut shard, &tenant.name, quota, now);
        state.bucket.charge(now, uncharged as f64);
        // What was charged in vain the other owners, who go by the cumulative count, keep charged.
        state.record_own(now, u64::try_from(uncharged).unwrap_or(0));
        let decision = state.bucket.admit(now, tokens);
        if decision.is_ok() {
            state.record_own(now, tokens);
        }
        if state.unreported as f64
            > quota.burst.max(quota.tokens_per_second) as f64 * MAX_UNREPORTED_SHARE
        {
            self.urgent.notify_one();
        }
        Some(Grant {
            decision,
            level_tokens: state.bucket.level(now) as i64,
            admitted_per_second: state.meter.rate(now) as u64,
        })
    }

    /// The other owners of a tenant were told what this node granted.
    pub fn mark_reported(&self, tenant: &str) {
        if let Some(state) = self.lock(tenant).get_mut(tenant) {
            state.unreported = 0;
        }
    }

    /// Resolves once peers should hear of an admission at once.
    pub async fn until_urgent(&self) {
        self.urgent.notified().await;
    }

    /// Gives back what a request took that never left for a backend. The peers, who go by the
    /// cumulative count, keep it charged.
    pub fn refund(&self, now: MonotonicTime, tenant: &Tenant, tokens: u64) {
        let mut shard = self.lock(&tenant.name);
        if let Some(state) = shard.get_mut(&tenant.name) {
            let tokens = tokens.min(state.used);
            state.bucket.refund(now, tokens);
        }
    }

    /// A peer told a tenant's count.
    pub fn apply_peer_count(&self, now: MonotonicTime, quota: &TokenQuota, count: PeerCount<'_>) {
        let warming_up = self.is_warming_up(now);
        let mut shard = self.lock(count.tenant);
        let state = state_of(&mut shard, count.tenant, quota, now);
        if let Some(zone) = count.owner_zone {
            state.owner_count(now, &count, zone);
            return;
        }
        match state.peers.get_mut(count.member) {
            Some(peer) => {
                peer.owner_zone = None;
                let charge = peer
                    .usage
                    .record_count(count.boot_id, count.used_tokens, now);
                let is_stable = peer.usage.is_stable();
                state.charge(now, charge);
                if is_stable {
                    state.bucket.agree(now, count.level_tokens as f64);
                }
            }
            None => {
                let peer = Peer {
                    usage: PeerUsage::first(count.boot_id, count.used_tokens, now),
                    owner_zone: None,
                };
                state.peers.insert(count.member.to_owned(), peer);
                if warming_up || !is_recent(&count) {
                    state.bucket.lower_to(now, count.level_tokens as f64);
                } else {
                    state.charge(now, count.used_tokens as f64);
                }
            }
        }
    }

    /// Charges what silent peers are assumed to admit.
    pub fn tick(&self, now: MonotonicTime, own_zone: &str) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for state in shard.values_mut() {
                state.assume(now, own_zone);
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
                counted_for: now.since(state.since),
            }));
        }
        levels
    }

    /// Whether this node has only just begun to count.
    fn is_warming_up(&self, now: MonotonicTime) -> bool {
        let mut started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        now.since(*started.get_or_insert(now)) < WARM_UP_TIME
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
        .or_insert_with(|| TenantState::new(quota, now));
    if state.quota != *quota {
        state.quota = *quota;
        state.bucket.set_quota(quota, now);
    }
    state
}
