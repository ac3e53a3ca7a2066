//! Names that a process has for its connections.

use std::collections::BTreeMap;

use crate::network::LinkNumber;

/// Bidirectional map between connections and the names that a process has for them.
pub struct LinkNames<Name> {
    names: BTreeMap<LinkNumber, Name>,
    links: BTreeMap<Name, LinkNumber>,
}

impl<Name> Default for LinkNames<Name> {
    fn default() -> Self {
        Self {
            names: BTreeMap::new(),
            links: BTreeMap::new(),
        }
    }
}

impl<Name: Copy + Ord> LinkNames<Name> {
    /// Adds a connection under a name.
    pub fn insert(&mut self, link: LinkNumber, name: Name) {
        self.names.insert(link, name);
        self.links.insert(name, link);
    }

    /// Returns the name of a connection.
    #[must_use]
    pub fn name_of(&self, link: LinkNumber) -> Option<Name> {
        self.names.get(&link).copied()
    }

    /// Returns the connection with a name.
    #[must_use]
    pub fn link_of(&self, name: Name) -> Option<LinkNumber> {
        self.links.get(&name).copied()
    }

    /// Removes a connection. Returns its name.
    pub fn remove(&mut self, link: LinkNumber) -> Option<Name> {
        let name = self.names.remove(&link)?;
        self.links.remove(&name);
        Some(name)
    }

    /// Removes a connection by its name. Returns the connection.
    pub fn remove_name(&mut self, name: Name) -> Option<LinkNumber> {
        let link = self.link_of(name)?;
        self.remove(link);
        Some(link)
    }

    /// Removes every connection.
    pub fn clear(&mut self) {
        self.names.clear();
        self.links.clear();
    }
}
