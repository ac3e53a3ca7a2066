//! Encodes this node's token usage into messages to its peers, and applies the messages of its peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millford_api::config::TokenQuota;
use millford_api::exchange::{PeerMessage, TenantUsage};
use millford_core::{Duration, MonotonicTime};
use millford_routing::RoutingTable;

use crate::node::ForwardNode;
use crate::owners::{ByOwner, OwnerRing};
use crate::protocol::ForwardProtocol;
use crate::quota::tenant_quotas::limiting_quota;
use crate::quota::{PeerCount, TenantLevel};

/// Most tenants in one datagram.
const MAX_TENANTS_PER_DATAGRAM: usize = 256;

/// The tenants that an update covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Tenants whose usage has changed since it was last reported.
    Changes,
    /// All tenants.
    Full,
}

/// A message and its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedMessage {
    /// Address at which the receiver takes datagrams.
    pub address: SocketAddr,
    /// The message that the datagram contains.
    pub message: PeerMessage,
}

/// Encodes usage messages. Tracks the usage that was last reported, so that updates of scope
/// [`UpdateScope::Changes`] omit unchanged tenants.
#[derive(Debug)]
pub struct UsageMessageEncoder {
    boot_id: u64,
    /// Sequence number of the last message.
    sequence: u64,
    /// Last reported tokens, by tenant.
    reported: BTreeMap<String, u64>,
}

impl UsageMessageEncoder {
    /// Creates an encoder that has reported nothing. `boot_id` identifies this incarnation of the process.
    #[must_use]
    pub fn new(boot_id: u64) -> Self {
        Self {
            boot_id,
            sequence: 0,
            reported: BTreeMap::new(),
        }
    }

    /// Encodes the message to all peers with the tokens that this node admitted; `None` if there is nothing to
    /// report.
    pub fn encode_for_all<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        now: MonotonicTime,
        scope: UpdateScope,
    ) -> Option<PeerMessage> {
        let mut levels = node.quotas.levels(now);
        levels.retain(|level| self.is_due(level, scope));
        levels.truncate(MAX_TENANTS_PER_DATAGRAM);
        for level in &levels {
            self.record_reported(level);
        }
        self.encode(node, levels)
    }

    /// Encodes the messages to the other owners of each tenant that this node owns, with the tokens that it granted
    /// as an owner.
    pub fn encode_for_owners<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        ring: &OwnerRing,
        now: MonotonicTime,
        scope: UpdateScope,
    ) -> Vec<AddressedMessage> {
        let by_owner = self.levels_by_owner(node, ring, now, scope);
        let mut messages = Vec::new();
        for for_owner in by_owner {
            for levels in for_owner.items.chunks(MAX_TENANTS_PER_DATAGRAM) {
                let Some(mut message) = self.encode(node, levels.to_vec()) else {
                    continue;
                };
                message.is_owner = true;
                messages.push(AddressedMessage {
                    address: for_owner.address,
                    message,
                });
            }
        }
        messages
    }

    fn levels_by_owner<'a, P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        ring: &'a OwnerRing,
        now: MonotonicTime,
        scope: UpdateScope,
    ) -> ByOwner<'a, TenantLevel> {
        let mut by_owner = ByOwner::default();
        for level in node.quotas.levels(now) {
            if !self.is_due(&level, scope) {
                continue;
            }
            let owners = ring.owners_of_tenant(&level.tenant);
            if !owners.iter().any(|owner| owner.name == node.name) {
                continue;
            }
            self.record_reported(&level);
            node.quotas.mark_reported(&level.tenant);
            for owner in owners.iter().filter(|owner| owner.name != node.name) {
                by_owner.add(owner, level.clone());
            }
        }
        by_owner
    }

    fn is_due(&self, level: &TenantLevel, scope: UpdateScope) -> bool {
        let changed = self.reported.get(&level.tenant) != Some(&level.used_tokens);
        changed || scope == UpdateScope::Full
    }

    fn record_reported(&mut self, level: &TenantLevel) {
        self.reported
            .insert(level.tenant.clone(), level.used_tokens);
    }

    fn encode<P: ForwardProtocol>(
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

/// Applies a peer's counts to this node's quotas.
pub fn apply_usage<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    now: MonotonicTime,
    message: &PeerMessage,
) {
    let table = node.state.table();
    let ring = node.peers.ring(&table);
    let zone = message.is_owner.then(|| {
        let zone = ring.zone_of(&message.member);
        zone.unwrap_or_default().to_owned()
    });
    for usage in &message.usage {
        let Some(quota) = quota_of(&table, &usage.tenant) else {
            continue;
        };
        let count = PeerCount {
            member: &message.member,
            boot_id: message.boot_id,
            tenant: &usage.tenant,
            used_tokens: usage.used_tokens,
            level_tokens: usage.level_tokens,
            counted_for: counted_for(usage),
            owner_zone: zone.as_deref(),
        };
        node.quotas.apply_peer_count(now, &quota, count);
    }
}

fn quota_of(table: &RoutingTable, name: &str) -> Option<TokenQuota> {
    limiting_quota(table.tenant_named(name)?).copied()
}

/// Returns the time for which the sender has counted; `None` from a sender of an earlier version, which omits it.
fn counted_for(usage: &TenantUsage) -> Option<Duration> {
    (usage.counted_for_ms > 0).then(|| Duration::from_millis(usage.counted_for_ms))
}
