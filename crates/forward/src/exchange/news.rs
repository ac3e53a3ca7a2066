//! Makes this node's news and takes in those of its peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millford_api::config::TokenQuota;
use millford_api::exchange::{PeerMessage, TenantUsage};
use millford_core::{Duration, MonotonicTime};
use millford_routing::RoutingTable;

use crate::node::ForwardNode;
use crate::owners::{ByOwner, OwnerRing};
use crate::protocol::ForwardProtocol;
use crate::quota::tenant_quotas::limiting;
use crate::quota::{PeerCount, TenantLevel};

/// Most tenants in one datagram.
const MOST_TENANTS: usize = 256;

/// This node's side: what was told last, so that an idle node is quiet.
#[derive(Debug)]
pub struct NewsWriter {
    boot_id: u64,
    sequence: u64,
    told: BTreeMap<String, u64>,
}

impl NewsWriter {
    /// A writer that has told nothing.
    #[must_use]
    pub fn new(boot_id: u64) -> Self {
        Self {
            boot_id,
            sequence: 0,
            told: BTreeMap::new(),
        }
    }

    /// For all peers: what was admitted since they were told last, or everything when `whole`; nothing when
    /// nothing was.
    pub fn write<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        now: MonotonicTime,
        whole: bool,
    ) -> Option<PeerMessage> {
        let mut levels = node.quotas.levels(now);
        levels.retain(|level| {
            let changed = self.told.get(&level.tenant) != Some(&level.used_tokens);
            whole || changed
        });
        levels.truncate(MOST_TENANTS);
        for level in &levels {
            self.told.insert(level.tenant.clone(), level.used_tokens);
        }
        self.news(node, levels)
    }

    /// For the other owners of each tenant that this node owns: what was granted since they were told last,
    /// or everything when `whole`. One datagram for each of them, with its address.
    pub fn write_owned<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        ring: &OwnerRing,
        now: MonotonicTime,
        whole: bool,
    ) -> Vec<(SocketAddr, PeerMessage)> {
        let mut by_owner = ByOwner::default();
        for level in node.quotas.levels(now) {
            let known = self.told.get(&level.tenant) == Some(&level.used_tokens);
            if known && !whole {
                continue;
            }
            let owners = ring.owners_of_tenant(&level.tenant);
            if !owners.iter().any(|owner| owner.name == node.name) {
                continue;
            }
            self.told.insert(level.tenant.clone(), level.used_tokens);
            node.quotas.told(&level.tenant);
            for owner in owners.iter().filter(|owner| owner.name != node.name) {
                by_owner.add(owner, level.clone());
            }
        }
        let mut datagrams = Vec::new();
        for told in by_owner {
            for levels in told.items.chunks(MOST_TENANTS) {
                let Some(mut news) = self.news(node, levels.to_vec()) else {
                    continue;
                };
                news.is_owner = true;
                datagrams.push((told.address, news));
            }
        }
        datagrams
    }

    fn news<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        levels: Vec<TenantLevel>,
    ) -> Option<PeerMessage> {
        if levels.is_empty() {
            return None;
        }
        let usage = levels.into_iter().map(|level| TenantUsage {
            tenant: level.tenant,
            used_tokens: level.used_tokens,
            level_tokens: level.level_tokens,
            counted_for_ms: u64::try_from(level.counted_for.as_millis())
                .unwrap_or(u64::MAX)
                .max(1),
        });
        self.sequence += 1;
        Some(PeerMessage {
            member: node.name.clone(),
            boot_id: self.boot_id,
            sequence: self.sequence,
            usage: usage.collect(),
            ..PeerMessage::default()
        })
    }
}

/// Takes in a peer's counts.
pub fn take_news<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    now: MonotonicTime,
    news: &PeerMessage,
) {
    let table = node.state.table();
    let (ring, _) = node.peers.ring(&table);
    let zone = news.is_owner.then(|| {
        let zone = ring.zone_of(&news.member);
        zone.unwrap_or_default().to_owned()
    });
    for usage in &news.usage {
        let Some(quota) = quota_of(&table, &usage.tenant) else {
            continue;
        };
        let count = PeerCount {
            member: &news.member,
            boot_id: news.boot_id,
            tenant: &usage.tenant,
            used_tokens: usage.used_tokens,
            level_tokens: usage.level_tokens,
            counted_for: counted_for(usage),
            owner_in: zone.as_deref(),
        };
        node.quotas.peer_count(now, &quota, count);
    }
}

fn quota_of(table: &RoutingTable, name: &str) -> Option<TokenQuota> {
    limiting(table.tenant_named(name)?).copied()
}

/// A sender of an earlier version does not say.
fn counted_for(usage: &TenantUsage) -> Option<Duration> {
    (usage.counted_for_ms > 0).then(|| Duration::from_millis(usage.counted_for_ms))
}
