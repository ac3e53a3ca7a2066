//! Machines of a site.

/// Numbers of machines and tenants of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Front machines, each with an agent and a proxy.
    pub fronts: u16,
    /// Zones that the machines are spread over.
    pub zones: u16,
    /// Core machines at the start.
    pub cores: u16,
    /// Model backends.
    pub models: u16,
    /// Lookup backends.
    pub lookups: u16,
    /// Tenants; the first ones dominate.
    pub tenants: u16,
}

impl Topology {
    /// The site in Iceland.
    pub const REYKJAVIK: Topology = Topology {
        fronts: 8,
        zones: 4,
        cores: 3,
        models: 12,
        lookups: 4,
        tenants: 5,
    };

    /// The site in Senegal.
    pub const DAKAR: Topology = Topology {
        fronts: 6,
        zones: 4,
        cores: 3,
        models: 12,
        lookups: 4,
        tenants: 5,
    };

    /// A site for scenarios about one mechanism.
    pub const SMALL: Topology = Topology {
        fronts: 2,
        zones: 2,
        cores: 3,
        models: 4,
        lookups: 2,
        tenants: 3,
    };

    /// The site with this name.
    #[must_use]
    pub fn from_word(word: &str) -> Option<Self> {
        Some(match word {
            "reykjavik" => Topology::REYKJAVIK,
            "dakar" => Topology::DAKAR,
            "small" => Topology::SMALL,
            _ => return None,
        })
    }
}
