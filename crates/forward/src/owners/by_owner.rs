//! Groups items by the owners that they are sent to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::owners::owner_ring::Owner;

/// The items for one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerItems<'a, T> {
    /// Name of the owner.
    pub owner: &'a str,
    /// Address at which the owner receives datagrams.
    pub address: SocketAddr,
    /// Items, in the order of insertion.
    pub items: Vec<T>,
}

/// Groups items by owner, so that each owner is sent one datagram. Iterates in the order of the owners' names.
#[derive(Clone, Debug)]
pub struct ByOwner<'a, T>(BTreeMap<&'a str, OwnerItems<'a, T>>);

impl<T> Default for ByOwner<'_, T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<'a, T> ByOwner<'a, T> {
    /// Adds an item for an owner.
    pub fn add(&mut self, owner: &'a Owner, item: T) {
        let new = || OwnerItems {
            owner: &owner.name,
            address: owner.address,
            items: Vec::new(),
        };
        let entry = self.0.entry(&owner.name).or_insert_with(new);
        entry.items.push(item);
    }
}

impl<'a, T> IntoIterator for ByOwner<'a, T> {
    type Item = OwnerItems<'a, T>;
    type IntoIter = std::collections::btree_map::IntoValues<&'a str, OwnerItems<'a, T>>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_values()
    }
}
