//! One tenant's bucket at one node, with the counts of the peers that admit its requests too.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::TokenQuota;
use millford_core::{Duration, MonotonicTime};

use super::cluster_bucket::ClusterBucket;
use super::grant::Grant;
use super::peer_usage::{PARTITION_GAP, PeerUsage};
use super::usage_meter::UsageMeter;

/// Share of the burst below which few peers are notified of each admission at once.
const URGENT_LEVEL_SHARE: f64 = 0.95;

/// Share of the burst that an owner may have granted before the other owners are notified at once.
const MAX_UNREPORTED_SHARE: f64 = 1.0 / 32.0;

/// A node that has run for less adopts what its peers estimate to be left.
pub(super) const WARM_UP_TIME: Duration = Duration::from_secs(2);

/// One tenant's count as a peer reports it.
#[derive(Clone, Copy, Debug)]
pub struct PeerCount<'a> {
    /// Name of the peer.
    pub member: &'a str,
    /// Incarnation of the peer's process.
    pub boot_id: u64,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Tokens that it admitted since its start.
    pub used_tokens: u64,
    /// What it estimates to be left, in tokens.
    pub level_tokens: i64,
    /// For how long it has counted the tenant's tokens. Unknown with peers of an earlier version.
    pub counted_for: Option<Duration>,
    /// Zone of the peer if it reports what it granted as an owner of the tenant.
    pub owner_zone: Option<&'a str>,
}

impl PeerCount<'_> {
    /// Whether the peer began to count so lately that all of its count is new to this node.
    fn is_recent(&self) -> bool {
        self.counted_for.is_none_or(|span| span < WARM_UP_TIME)
    }
}

/// One tenant's count of this node, for its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLevel {
    /// Name of the tenant.
    pub tenant: String,
    /// Tokens admitted here since the start.
    pub used_tokens: u64,
    /// What this node estimates to be left, in tokens.
    pub level_tokens: i64,
    /// For how long this node has counted.
    pub counted_for: Duration,
}

/// Whether this node itself has only just begun to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeAge {
    /// It has run for less than [`WARM_UP_TIME`].
    WarmingUp,
    /// It has received what its peers counted before.
    Established,
}

#[derive(Debug)]
struct Peer {
    usage: PeerUsage,
    /// Zone of an owner.
    owner_zone: Option<String>,
}

/// The bucket of one tenant and what it was charged for.
#[derive(Debug)]
pub(super) struct TenantState {
    quota: TokenQuota,
    bucket: ClusterBucket,
    meter: UsageMeter,
    counted_since: MonotonicTime,
    /// Tokens admitted or granted here since the start.
    used: u64,
    /// Tokens granted since the other owners were notified.
    unreported: u64,
    /// Last message of another owner.
    owner_received_at: MonotonicTime,
    /// Until then another owner's estimate goes before this node's, which may have missed grants.
    defers_until: MonotonicTime,
    peers: BTreeMap<String, Peer>,
}

impl TenantState {
    pub(super) fn new(quota: &TokenQuota, now: MonotonicTime) -> Self {
        Self {
            quota: *quota,
            bucket: ClusterBucket::new(quota, now),
            meter: UsageMeter::new(now),
            counted_since: now,
            used: 0,
            unreported: 0,
            owner_received_at: now,
            defers_until: now + WARM_UP_TIME,
            peers: BTreeMap::new(),
        }
    }

    /// Goes by `quota` from now on.
    pub(super) fn set_quota(&mut self, quota: &TokenQuota, now: MonotonicTime) {
        if self.quota != *quota {
            self.quota = *quota;
            self.bucket.set_quota(quota, now);
        }
    }

    /// Admits a request of this many tokens.
    ///
    /// # Errors
    /// The time until the bucket holds anything.
    pub(super) fn admit(&mut self, now: MonotonicTime, tokens: u64) -> Result<(), Duration> {
        self.bucket.admit(now, tokens)?;
        self.record_own(now, tokens);
        Ok(())
    }

    /// Whether so little is left that peers are to be notified of each admission at once.
    pub(super) fn is_nearly_empty(&mut self, now: MonotonicTime) -> bool {
        self.bucket.is_below(now, URGENT_LEVEL_SHARE)
    }

    /// Decides on a request as an owner of the tenant. `uncharged` tokens were admitted by the requesting
    /// node without a reply, or were charged to it in vain where it is less than 0.
    pub(super) fn grant(&mut self, now: MonotonicTime, tokens: u64, uncharged: i64) -> Grant {
        self.bucket.charge(now, uncharged as f64);
        // What was charged in vain stays charged at the other owners, who go by the cumulative count.
        self.record_own(now, u64::try_from(uncharged).unwrap_or(0));
        let decision = self.bucket.admit(now, tokens);
        if decision.is_ok() {
            self.record_own(now, tokens);
        }
        Grant {
            decision,
            level_tokens: self.bucket.level(now) as i64,
            admitted_per_second: self.meter.rate(now) as u64,
        }
    }

    /// Whether this owner granted so much that the other owners are to be notified at once.
    pub(super) fn is_report_due(&self) -> bool {
        let burst = self.quota.burst.max(self.quota.tokens_per_second);
        self.unreported as f64 > burst as f64 * MAX_UNREPORTED_SHARE
    }

    /// The other owners were notified of all that this node granted.
    pub(super) fn mark_reported(&mut self) {
        self.unreported = 0;
    }

    /// Puts back what a request took that was never sent to a backend.
    pub(super) fn refund(&mut self, now: MonotonicTime, tokens: u64) {
        let tokens = tokens.min(self.used);
        self.bucket.refund(now, tokens);
    }

    /// This node's count for its peers.
    pub(super) fn level(&mut self, now: MonotonicTime, tenant: &str) -> TenantLevel {
        TenantLevel {
            tenant: tenant.to_owned(),
            used_tokens: self.used,
            level_tokens: self.bucket.level(now) as i64,
            counted_for: now.since(self.counted_since),
        }
    }

    /// Applies the count of a peer that admits for itself.
    pub(super) fn apply_peer_count(
        &mut self,
        now: MonotonicTime,
        count: &PeerCount<'_>,
        age: NodeAge,
    ) {
        if self.peers.contains_key(count.member) {
            self.apply_known(now, count);
            return;
        }
        self.insert_peer(now, count);
        if age == NodeAge::WarmingUp || !count.is_recent() {
            self.bucket.lower_to(now, count.level_tokens as f64);
        } else {
            self.charge(now, count.used_tokens as f64);
        }
    }

    /// Applies an owner's count. Owners receive each other's counts at least once a second.
    ///
    /// Where messages were missed, what was admitted meanwhile is past, and was partly refilled since:
    /// the lower estimate counts, and not the sum.
    pub(super) fn apply_owner_count(&mut self, now: MonotonicTime, count: &PeerCount<'_>) {
        if now.since(self.owner_received_at) > PARTITION_GAP {
            self.defers_until = now + WARM_UP_TIME;
        }
        self.owner_received_at = now;
        let level = count.level_tokens as f64;
        let known = self.peers.get(count.member);
        if known.is_some_and(|peer| peer.usage.is_continuous(count.boot_id, now)) {
            self.apply_known(now, count);
        } else {
            self.insert_peer(now, count);
            if count.is_recent() {
                self.charge(now, count.used_tokens as f64);
            } else {
                self.bucket.lower_to(now, level);
            }
        }
        if now < self.defers_until {
            self.bucket.lower_to(now, level);
        }
    }

    /// Charges what unresponsive peers are assumed to admit. An owner whose zone has another responsive
    /// owner, or is this node's own, is replaced: the nodes that requested admission from it now use that
    /// other one.
    pub(super) fn charge_assumed(&mut self, now: MonotonicTime, own_zone: &str) {
        let responsive = self
            .peers
            .values()
            .filter(|peer| !peer.usage.is_unresponsive(now));
        let mut served_zones: BTreeSet<String> = responsive
            .filter_map(|peer| peer.owner_zone.clone())
            .collect();
        served_zones.insert(own_zone.to_owned());
        let max_rate = self.bucket.max_rate();
        let mut assumed = 0.0;
        for peer in self.peers.values_mut() {
            let zone = peer.owner_zone.as_ref();
            let replaced = zone.is_some_and(|zone| served_zones.contains(zone));
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

    /// Applies a newer count of a peer that is known.
    fn apply_known(&mut self, now: MonotonicTime, count: &PeerCount<'_>) {
        let Some(peer) = self.peers.get_mut(count.member) else {
            return;
        };
        peer.owner_zone = count.owner_zone.map(str::to_owned);
        let charge = peer
            .usage
            .record_count(count.boot_id, count.used_tokens, now);
        let is_stable = peer.usage.is_stable();
        self.charge(now, charge);
        if is_stable {
            self.bucket.agree(now, count.level_tokens as f64);
        }
    }

    fn insert_peer(&mut self, now: MonotonicTime, count: &PeerCount<'_>) {
        let peer = Peer {
            usage: PeerUsage::first(count.boot_id, count.used_tokens, now),
            owner_zone: count.owner_zone.map(str::to_owned),
        };
        self.peers.insert(count.member.to_owned(), peer);
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
}
