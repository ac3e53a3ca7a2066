//! Makes this node's news and takes in those of its peers.

use std::collections::BTreeMap;

use millford_api::config::{Tenant, TokenQuota};
use millford_api::exchange::{ProxyNews, TenantUsage};
use millford_core::MonotonicTime;
use millford_routing::RoutingTable;

use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
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
    ) -> Option<ProxyNews> {
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

    /// For a few peers: everything. The others are still to be told, so nothing counts as told by it.
    pub fn write_turn<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        now: MonotonicTime,
    ) -> Option<ProxyNews> {
        let mut levels = node.quotas.levels(now);
        levels.truncate(MOST_TENANTS);
        self.news(node, levels)
    }

    fn news<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        levels: Vec<TenantLevel>,
    ) -> Option<ProxyNews> {
        if levels.is_empty() {
            return None;
        }
        let usage = levels.into_iter().map(|level| TenantUsage {
            tenant: level.tenant,
            used_tokens: level.used_tokens,
            level_tokens: level.level_tokens,
        });
        self.sequence += 1;
        Some(ProxyNews {
            member: node.name.clone(),
            boot_id: self.boot_id,
            sequence: self.sequence,
            usage: usage.collect(),
            ..ProxyNews::default()
        })
    }
}

/// Takes in a peer's counts.
pub fn take_news<P: ForwardProtocol>(node: &ForwardNode<P>, now: MonotonicTime, news: &ProxyNews) {
    let table = node.state.table();
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
        };
        node.quotas.peer_count(now, &quota, count);
    }
}

fn quota_of(table: &RoutingTable, name: &str) -> Option<TokenQuota> {
    let mut tenants = table.tenants();
    let tenant = tenants.find(|tenant| tenant.name == name)?;
    let tenant: &Tenant = tenant;
    crate::quota::tenant_quotas::limiting(tenant).copied()
}
