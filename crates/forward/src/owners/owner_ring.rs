//! Determines which proxies own a key.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millford_api::state::ProxyMember;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::quota::FleetSize;

/// Largest fleet, in proxies, in which tenants have no owners: each node admits requests itself and notifies all
/// others. There this takes fewer datagrams than a request to an owner before each admission, and no waiting.
const MAX_NODES_WITHOUT_TENANT_OWNERS: usize = 17;

/// Number of owners that are selected for a key from one group of proxies.
const OWNERS_PER_KEY: usize = 2;

/// A proxy that may own keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the proxy's node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address at which the proxy receives datagrams.
    pub address: SocketAddr,
    /// Hash of the name.
    hash: u64,
}

impl Owner {
    /// Returns the proxy's rank for a key. The proxies with the highest ranks own the key.
    fn rank(&self, key: u64) -> u64 {
        xxh3_64_with_seed(&self.hash.to_le_bytes(), key)
    }
}

/// The proxies, including this node, among which keys are distributed by rendezvous hashing.
///
/// When a proxy joins or leaves, only the keys that it owns move. While nodes have different lists of proxies, one
/// may request a key from another owner than others publish it to; the repeated updates repair this.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerRing {
    members: Vec<Owner>,
}

impl OwnerRing {
    /// Creates the ring of these proxies. A proxy whose address cannot be parsed is left out.
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

    /// Returns the owners of a backend's load counts.
    #[must_use]
    pub fn owners_of_backend(&self, backend_id: &str) -> Vec<&Owner> {
        self.owners(xxh3_64(backend_id.as_bytes()))
    }

    /// Returns the owners of the locations of a prefix block.
    #[must_use]
    pub fn owners_of_block(&self, block: u64) -> Vec<&Owner> {
        self.owners(xxh3_64(&block.to_le_bytes()))
    }

    /// Returns the owners of a tenant's bucket that nodes of a zone use: two in that zone, so that requests stay
    /// within the zone and a partitioned zone has its own owners. If the zone has no proxies, returns two of the
    /// whole fleet.
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

    /// Returns the owners of a tenant's bucket that nodes of a zone use while no owner in their own zone replies:
    /// the first owner of each other zone, which has received what all zones granted. The order is the same for
    /// all nodes.
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

    /// Returns all owners of a tenant's bucket, two in each zone.
    #[must_use]
    pub fn owners_of_tenant(&self, tenant: &str) -> Vec<&Owner> {
        let key = xxh3_64(tenant.as_bytes());
        let zones = by_zone(&self.members).into_values();
        zones
            .flat_map(|owners| highest_ranked(owners, key))
            .collect()
    }

    /// Returns the number of proxies.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of proxies in the fleet and in a zone, from the view of a node in that zone: the node is
    /// counted even if the ring does not contain it yet.
    #[must_use]
    pub fn size_for(&self, zone: &str) -> FleetSize {
        let in_zone = self.members.iter().filter(|member| member.zone == zone);
        let in_zone = in_zone.count().max(1);
        FleetSize {
            nodes: self.members.len().max(in_zone),
            in_zone,
        }
    }

    /// Whether admissions are granted by owners, rather than by each node itself.
    #[must_use]
    pub fn has_tenant_owners(&self) -> bool {
        self.members.len() > MAX_NODES_WITHOUT_TENANT_OWNERS
    }

    /// Returns the datagram addresses of all proxies except the one called `name`.
    #[must_use]
    pub fn addresses_of_others(&self, name: &str) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|member| member.name != name);
        others.map(|member| member.address).collect()
    }

    /// Returns the zone of the proxy called `name`, or `None` if the ring does not contain it.
    #[must_use]
    pub fn zone_of(&self, name: &str) -> Option<&str> {
        let mut members = self.members.iter();
        let member = members.find(|member| member.name == name)?;
        Some(&member.zone)
    }

    /// Returns the first and the second owner of a key. The second is in another zone if there is one, so that a
    /// failing zone does not take both down.
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

/// Returns the [`OWNERS_PER_KEY`] highest-ranked of `owners` for `key`, the highest first.
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
