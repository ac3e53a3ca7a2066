//! A process's own names of its connections.

use std::collections::BTreeMap;

use crate::network::LinkNumber;

/// Connections by the names of one process, and back.
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
    /// Names a connection.
    pub fn insert(&mut self, link: LinkNumber, name: Name) {
        self.names.insert(link, name);
        self.links.insert(name, link);
    }

    /// The name of a connection.
    #[must_use]
    pub fn name_of(&self, link: LinkNumber) -> Option<Name> {
        self.names.get(&link).copied()
    }

    /// The connection with a name.
    #[must_use]
    pub fn link_of(&self, name: Name) -> Option<LinkNumber> {
        self.links.get(&name).copied()
    }

    /// Forgets a connection. Returns its name.
    pub fn remove(&mut self, link: LinkNumber) -> Option<Name> {
        let name = self.names.remove(&link)?;
        self.links.remove(&name);
        Some(name)
    }

    /// Forgets a connection by its name. Returns the connection.
    pub fn remove_name(&mut self, name: Name) -> Option<LinkNumber> {
        let link = self.link_of(name)?;
        self.remove(link);
        Some(link)
    }

    /// Forgets every connection.
    pub fn clear(&mut self) {
        self.names.clear();
        self.links.clear();
    }
}
