//! Makes this node's news and takes in those of its peers.

use std::collections::BTreeMap;

use millford_api::config::{Tenant, TokenQuota};
use millford_api::exchange::{ProxyNews, TenantUsage};
use millford_core::MonotonicTime;
use millford_routing::RoutingTable;

use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
use crate::quota::PeerCount;

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

    /// What was admitted since the last news, or everything when `whole`; nothing when nothing was.
    pub fn write<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        now: MonotonicTime,
        whole: bool,
    ) -> Option<ProxyNews> {
        let usage = self.usage(node, now, whole);
        if usage.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(ProxyNews {
            member: node.name.clone(),
            boot_id: self.boot_id,
            sequence: self.sequence,
            usage,
            ..ProxyNews::default()
        })
    }

    fn usage<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        now: MonotonicTime,
        whole: bool,
    ) -> Vec<TenantUsage> {
        let mut usage = Vec::new();
        for level in node.quotas.levels(now) {
            let changed = self.told.get(&level.tenant) != Some(&level.used_tokens);
            if usage.len() < MOST_TENANTS && (whole || changed) {
                self.told.insert(level.tenant.clone(), level.used_tokens);
                usage.push(TenantUsage {
                    tenant: level.tenant,
                    used_tokens: level.used_tokens,
                    level_tokens: level.level_tokens,
                });
            }
        }
        usage
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
