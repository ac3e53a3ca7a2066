//! Which proxies own a key.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millford_api::state::ProxyMember;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::quota::FleetSize;

/// In a fleet of up to this many proxies tenants have no owners: each node counts for itself and notifies all
/// others, which costs fewer datagrams than a request before each admission, and no wait.
const MAX_NODES_WITHOUT_TENANT_OWNERS: usize = 17;

/// Owners of one key in one group of proxies.
const OWNERS_PER_KEY: usize = 2;

/// A proxy that may own keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the proxy's node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    hash: u64,
}

impl Owner {
    /// Rank for a key: the highest owns it.
    fn rank(&self, key: u64) -> u64 {
        xxh3_64_with_seed(&self.hash.to_le_bytes(), key)
    }
}

/// The proxies among which keys are divided, this node included, by rendezvous hashing.
///
/// A proxy that joins or leaves moves only the keys that it owns. While nodes disagree on who the
/// proxies are, they may request from another owner than others publish to; the repeated updates heal this.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerRing {
    members: Vec<Owner>,
}

impl OwnerRing {
    /// The ring of these proxies; one whose address cannot be parsed owns nothing.
    #[must_use]
    pub fn of(peers: &[ProxyMember]) -> Self {
        let members = peers.iter().filter_map(|peer| {
            Some(Owner {
                name: peer.name.clone(),
                zone: peer.zone.clone(),
                address: peer.exchange_address.parse().ok()?,
                hash: xxh3_64(peer.name.as_bytes()),
            })
        });
        Self {
            members: members.collect(),
        }
    }

    /// The owners of a backend's counts.
    #[must_use]
    pub fn owners_of_backend(&self, backend_id: &str) -> Vec<&Owner> {
        self.owners(xxh3_64(backend_id.as_bytes()))
    }

    /// The owners of a prefix block's locations.
    #[must_use]
    pub fn owners_of_block(&self, block: u64) -> Vec<&Owner> {
        self.owners(xxh3_64(&block.to_le_bytes()))
    }

    /// The owners of a tenant's bucket that nodes of a zone use: two of that zone, so that a request never
    /// leaves it and a partitioned zone has owners of its own.
    #[must_use]
    pub fn owners_of_tenant_in(&self, zone: &str, tenant: &str) -> Vec<&Owner> {
        let key = xxh3_64(tenant.as_bytes());
        let in_zone = self.members.iter().filter(|owner| owner.zone == zone);
        let best = highest_ranked(in_zone, key);
        if best.is_empty() {
            highest_ranked(self.members.iter(), key)
        } else {
            best
        }
    }

    /// The owners of a tenant's bucket that nodes of a zone use while none of their own zone replies, the
    /// same order for all: one of each other zone, which knows what all zones granted.
    #[must_use]
    pub fn owners_of_tenant_outside(&self, zone: &str, tenant: &str) -> Vec<&Owner> {
        let key = xxh3_64(tenant.as_bytes());
        let outside = self.members.iter().filter(|owner| owner.zone != zone);
        let first_of_each = by_zone(outside)
            .into_values()
            .filter_map(|owners| highest_ranked(owners, key).into_iter().next());
        let mut best: Vec<&Owner> = first_of_each.collect();
        best.sort_by_key(|owner| std::cmp::Reverse(owner.rank(key)));
        best
    }

    /// All owners of a tenant's bucket, two in each zone.
    #[must_use]
    pub fn owners_of_tenant(&self, tenant: &str) -> Vec<&Owner> {
        let key = xxh3_64(tenant.as_bytes());
        let zones = by_zone(&self.members).into_values();
        zones
            .flat_map(|owners| highest_ranked(owners, key))
            .collect()
    }

    /// Number of proxies.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Proxies of the fleet and of a zone, for a node of that zone: the node counts also where the ring does
    /// not contain it yet.
    #[must_use]
    pub fn size_for(&self, zone: &str) -> FleetSize {
        let in_zone = self.members.iter().filter(|member| member.zone == zone);
        let in_zone = in_zone.count().max(1);
        FleetSize {
            nodes: self.members.len().max(in_zone),
            in_zone,
        }
    }

    /// Whether owners grant admissions, and not each node for itself.
    #[must_use]
    pub fn has_tenant_owners(&self) -> bool {
        self.members.len() > MAX_NODES_WITHOUT_TENANT_OWNERS
    }

    /// Where all proxies but this one take datagrams.
    #[must_use]
    pub fn addresses_of_others(&self, name: &str) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|member| member.name != name);
        others.map(|member| member.address).collect()
    }

    /// Zone of a proxy.
    #[must_use]
    pub fn zone_of(&self, name: &str) -> Option<&str> {
        let mut members = self.members.iter();
        let member = members.find(|member| member.name == name)?;
        Some(&member.zone)
    }

    /// The first and the second owner of a key. The second one is of another zone where there is one, so
    /// that both are not lost together.
    fn owners(&self, key: u64) -> Vec<&Owner> {
        let highest = |excluded_zone: Option<&str>, excluded_name: Option<&str>| {
            self.members
                .iter()
                .filter(|owner| Some(owner.zone.as_str()) != excluded_zone)
                .filter(|owner| Some(owner.name.as_str()) != excluded_name)
                .max_by_key(|owner| owner.rank(key))
        };
        let Some(first) = highest(None, None) else {
            return Vec::new();
        };
        let elsewhere = highest(Some(&first.zone), None);
        let second = elsewhere.or_else(|| highest(None, Some(&first.name)));
        std::iter::once(first).chain(second).collect()
    }
}

fn by_zone<'a>(owners: impl IntoIterator<Item = &'a Owner>) -> BTreeMap<&'a str, Vec<&'a Owner>> {
    let mut zones: BTreeMap<&str, Vec<&Owner>> = BTreeMap::new();
    for owner in owners {
        zones.entry(&owner.zone).or_default().push(owner);
    }
    zones
}

/// The [`OWNERS_PER_KEY`] highest-ranked of `owners` for `key`, the highest first.
fn highest_ranked<'a>(owners: impl IntoIterator<Item = &'a Owner>, key: u64) -> Vec<&'a Owner> {
    let mut best: Vec<(u64, &Owner)> = Vec::with_capacity(OWNERS_PER_KEY + 1);
    for owner in owners {
        let rank = owner.rank(key);
        let position = best.partition_point(|(better, _)| *better >= rank);
        best.insert(position, (rank, owner));
        best.truncate(OWNERS_PER_KEY);
    }
    best.into_iter().map(|(_, owner)| owner).collect()
}
