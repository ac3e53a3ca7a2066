//! Parses the line that a daemon prints when it is ready.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A parsed ready line: `PROGRAM ready KEY=ADDRESS ...`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadyLine {
    addresses: BTreeMap<String, SocketAddr>,
}

impl ReadyLine {
    /// Parses a line; `None` if it is not a ready line. Fields whose value is not an address are left out.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let mut words = line.split_whitespace();
        words.next()?;
        if words.next()? != "ready" {
            return None;
        }
        let fields = words.filter_map(|word| word.split_once('='));
        let addresses =
            fields.filter_map(|(key, value)| Some((key.to_owned(), value.parse().ok()?)));
        Some(Self {
            addresses: addresses.collect(),
        })
    }

    /// Returns the address of the field `key`, if the line had it.
    #[must_use]
    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        self.addresses.get(key).copied()
    }
}
