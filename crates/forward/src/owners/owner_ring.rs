//! Which proxies own a key.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millford_api::state::ProxyMember;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::quota::FleetSize;

/// In a fleet of up to this many proxies tenants have no owners: each node counts for itself and tells all
/// others, which costs fewer datagrams than a question before each admission, and no wait.
const MOST_WITHOUT_TENANT_OWNERS: usize = 17;

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

/// The proxies among which keys are divided, this node included.
///
/// A proxy that comes or goes moves only the keys that it owns. While nodes disagree on who the
/// proxies are, they may ask another owner than others tell; the repeated updates heal this.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerRing {
    members: Vec<Owner>,
}

impl OwnerRing {
    /// The ring of these proxies; one whose address cannot be read owns nothing.
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

    /// The owners of a prompt part's places.
    #[must_use]
    pub fn owners_of_block(&self, part: u64) -> Vec<&Owner> {
        self.owners(xxh3_64(&part.to_le_bytes()))
    }

    /// The owners of a tenant's bucket whom nodes of a zone ask: two of that zone, so that a question
    /// never leaves it and a zone that is cut off has owners of its own.
    #[must_use]
    pub fn owners_of_tenant_in(&self, zone: &str, tenant: &str) -> Vec<&Owner> {
        let key = xxh3_64(tenant.as_bytes());
        let in_zone = self.members.iter().filter(|owner| owner.zone == zone);
        let best = best_two(in_zone, key);
        match best.is_empty() {
            true => best_two(self.members.iter(), key),
            false => best,
        }
    }

    /// The owners of a tenant's bucket whom nodes of a zone ask while none of their own zone answers, the
    /// same order for all: one of each other zone, which knows what all zones granted.
    #[must_use]
    pub fn owners_of_tenant_outside(&self, zone: &str, tenant: &str) -> Vec<&Owner> {
        let key = xxh3_64(tenant.as_bytes());
        let outside = self.members.iter().filter(|owner| owner.zone != zone);
        let mut best: BTreeMap<&str, (u64, &Owner)> = BTreeMap::new();
        for owner in outside {
            let hash = owner.rank(key);
            let known = best.entry(&owner.zone).or_insert((hash, owner));
            if hash > known.0 {
                *known = (hash, owner);
            }
        }
        let mut best: Vec<(u64, &Owner)> = best.into_values().collect();
        best.sort_by_key(|(hash, _)| std::cmp::Reverse(*hash));
        best.into_iter().map(|(_, owner)| owner).collect()
    }

    /// All owners of a tenant's bucket, two in each zone.
    #[must_use]
    pub fn owners_of_tenant(&self, tenant: &str) -> Vec<&Owner> {
        let key = xxh3_64(tenant.as_bytes());
        let mut zones: BTreeMap<&str, Vec<&Owner>> = BTreeMap::new();
        for owner in &self.members {
            zones.entry(&owner.zone).or_default().push(owner);
        }
        let best = zones.into_values().map(|owners| best_two(owners, key));
        best.flatten().collect()
    }

    /// Number of proxies.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Proxies of the fleet and of a zone, for a node of that zone: it counts also where the ring does not
    /// show it yet.
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
        self.members.len() > MOST_WITHOUT_TENANT_OWNERS
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

    /// The owners of a key, the first one before its stand-in. The stand-in is of another zone where there
    /// is one, so that both are not lost together.
    fn owners(&self, key: u64) -> Vec<&Owner> {
        let best = |zone_to_avoid: Option<&str>, taken: Option<&str>| {
            self.members
                .iter()
                .filter(|owner| Some(owner.zone.as_str()) != zone_to_avoid)
                .filter(|owner| Some(owner.name.as_str()) != taken)
                .max_by_key(|owner| owner.rank(key))
        };
        let Some(first) = best(None, None) else {
            return Vec::new();
        };
        let elsewhere = best(Some(&first.zone), None);
        let second = elsewhere.or_else(|| best(None, Some(&first.name)));
        std::iter::once(first).chain(second).collect()
    }
}

/// The two of `owners` with the highest hash for `key`, the highest first.
fn best_two<'a>(owners: impl IntoIterator<Item = &'a Owner>, key: u64) -> Vec<&'a Owner> {
    let mut best: Vec<(u64, &Owner)> = Vec::with_capacity(3);
    for owner in owners {
        let hash = owner.rank(key);
        let place = best.partition_point(|(better, _)| *better >= hash);
        best.insert(place, (hash, owner));
        best.truncate(2);
    }
    best.into_iter().map(|(_, owner)| owner).collect()
}
