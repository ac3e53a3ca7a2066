//! Which proxies own a key.

use std::net::SocketAddr;

use millford_api::state::ProxyMember;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
    pub fn owners_of_part(&self, part: u64) -> Vec<&Owner> {
        self.owners(xxh3_64(&part.to_le_bytes()))
    }

    /// The owners of a key, the first one before its stand-in. The stand-in is of another zone where there
    /// is one, so that both are not lost together.
    fn owners(&self, key: u64) -> Vec<&Owner> {
        let best = |zone_to_avoid: Option<&str>, taken: Option<&str>| {
            self.members
                .iter()
                .filter(|owner| Some(owner.zone.as_str()) != zone_to_avoid)
                .filter(|owner| Some(owner.name.as_str()) != taken)
                .max_by_key(|owner| xxh3_64_with_seed(&owner.hash.to_le_bytes(), key))
        };
        let Some(first) = best(None, None) else {
            return Vec::new();
        };
        let elsewhere = best(Some(&first.zone), None);
        let second = elsewhere.or_else(|| best(None, Some(&first.name)));
        std::iter::once(first).chain(second).collect()
    }
}
