//! One tenant's bucket on one node, with the counts of the peers that admit the tenant's requests too.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::TokenQuota;
use millford_core::{Duration, MonotonicTime};

use super::cluster_bucket::ClusterBucket;
use super::grant::Grant;
use super::peer_usage::{PARTITION_GAP, PeerUsage};
use super::usage_meter::UsageMeter;

/// Level, as a share of the bucket's capacity, below which peers are notified of each admission at once. Applies
/// to small fleets, in which tenants have no owners.
const URGENT_LEVEL_SHARE: f64 = 0.95;

/// Share of the burst that an owner may grant before the other owners are notified at once.
const MAX_UNREPORTED_SHARE: f64 = 1.0 / 32.0;

/// Time for which a node adopts lower levels that its peers report: after it started to count, and after a gap in
/// the reports of other owners. A peer's count that covers less than this time is recent.
pub(super) const WARM_UP_TIME: Duration = Duration::from_secs(2);

/// The count of one tenant that a peer reported.
#[derive(Clone, Copy, Debug)]
pub struct PeerCount<'a> {
    /// Name of the peer.
    pub member: &'a str,
    /// Identifies the incarnation of the peer's process.
    pub boot_id: u64,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Tokens that the peer admitted or granted since its start.
    pub used_tokens: u64,
    /// The peer's estimate of the tokens left; less than 0 if the bucket is in debt.
    pub level_tokens: i64,
    /// Time for which the peer has counted the tenant's tokens; `None` from a peer of an earlier version.
    pub counted_for: Option<Duration>,
    /// Zone of the peer, if it reports what it granted as an owner of the tenant; empty if the zone is unknown.
    pub owner_zone: Option<&'a str>,
}

impl PeerCount<'_> {
    /// Whether the peer started counting so recently that this node has charged none of the count yet.
    fn is_recent(&self) -> bool {
        self.counted_for.is_none_or(|span| span < WARM_UP_TIME)
    }
}

/// This node's count of one tenant, to be reported to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLevel {
    /// Name of the tenant.
    pub tenant: String,
    /// Tokens that this node admitted or granted since its start.
    pub used_tokens: u64,
    /// This node's estimate of the tokens left; less than 0 if the bucket is in debt.
    pub level_tokens: i64,
    /// Time for which this node has counted the tenant's tokens.
    pub counted_for: Duration,
}

/// Whether this node itself has just started counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeAge {
    /// The node has counted for less than [`WARM_UP_TIME`].
    WarmingUp,
    /// The node has counted for longer and has received its peers' earlier counts.
    Established,
}

#[derive(Debug)]
struct Peer {
    usage: PeerUsage,
    /// Zone of the peer if it is an owner of the tenant.
    owner_zone: Option<String>,
}

/// The bucket of one tenant, and the usage that was charged to it.
#[derive(Debug)]
pub(super) struct TenantState {
    quota: TokenQuota,
    bucket: ClusterBucket,
    meter: UsageMeter,
    counted_since: MonotonicTime,
    /// Tokens that this node admitted or granted since its start.
    used: u64,
    /// Tokens granted since the other owners were last notified.
    unreported: u64,
    /// Time of the last message from another owner.
    owner_received_at: MonotonicTime,
    /// Until this time lower levels of other owners are adopted, since this node may have missed grants.
    defers_until: MonotonicTime,
    /// Peers by name.
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

    /// Applies `quota` if it has changed.
    pub(super) fn set_quota(&mut self, quota: &TokenQuota, now: MonotonicTime) {
        if self.quota != *quota {
            self.quota = *quota;
            self.bucket.set_quota(quota, now);
        }
    }

    /// Admits and charges a request of this many tokens.
    ///
    /// # Errors
    /// Returns the time until the bucket admits requests again.
    pub(super) fn admit(&mut self, now: MonotonicTime, tokens: u64) -> Result<(), Duration> {
        self.bucket.admit(now, tokens)?;
        self.record_own(now, tokens);
        Ok(())
    }

    /// Whether the level is so low that peers are to be notified of each admission at once.
    pub(super) fn is_below_urgent_level(&mut self, now: MonotonicTime) -> bool {
        self.bucket.is_below(now, URGENT_LEVEL_SHARE)
    }

    /// Decides on a request as an owner of the tenant. `uncharged` is the number of tokens that the requesting
    /// node admitted without a reply; less than 0 if more tokens were charged than it admitted.
    pub(super) fn grant(&mut self, now: MonotonicTime, tokens: u64, uncharged: i64) -> Grant {
        self.bucket.charge(now, uncharged as f64);
        // A negative number does not reduce the cumulative count, so that the other owners keep the excess charged.
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

    /// Whether this owner has granted so many unreported tokens that the other owners are to be notified at once.
    pub(super) fn is_report_due(&self) -> bool {
        let burst = self.quota.burst.max(self.quota.tokens_per_second);
        self.unreported as f64 > burst as f64 * MAX_UNREPORTED_SHARE
    }

    /// Records that the other owners were notified of all that this node granted.
    pub(super) fn mark_reported(&mut self) {
        self.unreported = 0;
    }

    /// Credits the tokens of a request that did not run back to the bucket.
    pub(super) fn refund(&mut self, now: MonotonicTime, tokens: u64) {
        let tokens = tokens.min(self.used);
        self.bucket.refund(now, tokens);
    }

    /// Returns this node's count, to be reported to peers.
    pub(super) fn level(&mut self, now: MonotonicTime, tenant: &str) -> TenantLevel {
        TenantLevel {
            tenant: tenant.to_owned(),
            used_tokens: self.used,
            level_tokens: self.bucket.level(now) as i64,
            counted_for: now.since(self.counted_since),
        }
    }

    /// Applies the count of a peer in a fleet without owners, in which each node admits requests itself.
    pub(super) fn apply_peer_count(
        &mut self,
        now: MonotonicTime,
        count: &PeerCount<'_>,
        age: NodeAge,
    ) {
        if self.peers.contains_key(count.member) {
            self.apply_known_peer(now, count);
            return;
        }
        self.insert_peer(now, count);
        if age == NodeAge::WarmingUp || !count.is_recent() {
            self.bucket.lower_to(now, count.level_tokens as f64);
        } else {
            self.charge(now, count.used_tokens as f64);
        }
    }

    /// Applies the count of another owner. Owners receive each other's counts at least once a second.
    ///
    /// The first count of an owner that has just started is charged. After missed messages of any other owner, its
    /// level is adopted if it is lower, and its count is not charged: part of what it granted in the meantime has
    /// been refilled since.
    pub(super) fn apply_owner_count(&mut self, now: MonotonicTime, count: &PeerCount<'_>) {
        if now.since(self.owner_received_at) > PARTITION_GAP {
            self.defers_until = now + WARM_UP_TIME;
        }
        self.owner_received_at = now;
        let level = count.level_tokens as f64;
        let known = self.peers.get(count.member);
        if known.is_some_and(|peer| peer.usage.is_continuous(count.boot_id, now)) {
            self.apply_known_peer(now, count);
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

    /// Charges the tokens that unresponsive peers are assumed to admit. None are assumed for an unresponsive
    /// owner if its zone has another responsive owner or is this node's own zone: the nodes that requested
    /// admissions from it now use that other owner.
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
                assumed += peer.usage.accrue_assumed(now, max_rate);
            }
        }
        if assumed != 0.0 {
            self.bucket.charge(now, assumed);
        }
    }

    /// Applies a newer count of a peer that has reported before.
    fn apply_known_peer(&mut self, now: MonotonicTime, count: &PeerCount<'_>) {
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
            self.bucket.converge_towards(now, count.level_tokens as f64);
        }
    }

    fn insert_peer(&mut self, now: MonotonicTime, count: &PeerCount<'_>) {
        let peer = Peer {
            usage: PeerUsage::new(count.boot_id, count.used_tokens, now),
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
