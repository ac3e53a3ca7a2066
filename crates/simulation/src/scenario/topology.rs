//! Number of machines and tenants of a simulated site.

/// Numbers of machines and tenants of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Proxy nodes, each with an agent and a proxy.
    pub proxy_nodes: u16,
    /// Zones that the machines are spread over.
    pub zones: u16,
    /// Control nodes at the start.
    pub control_nodes: u16,
    /// Model backends.
    pub models: u16,
    /// Lookup backends.
    pub lookups: u16,
    /// Tenants; the first two send most of the requests.
    pub tenants: u16,
}

impl Topology {
    /// The site of scenarios with `site reykjavik`.
    pub const REYKJAVIK: Topology = Topology {
        proxy_nodes: 8,
        zones: 4,
        control_nodes: 3,
        models: 12,
        lookups: 4,
        tenants: 5,
    };

    /// The site of scenarios with `site dakar`.
    pub const DAKAR: Topology = Topology {
        proxy_nodes: 6,
        zones: 4,
        control_nodes: 3,
        models: 12,
        lookups: 4,
        tenants: 5,
    };

    /// A small site for scenarios that test a single mechanism (`site small`).
    pub const SMALL: Topology = Topology {
        proxy_nodes: 2,
        zones: 2,
        control_nodes: 3,
        models: 4,
        lookups: 2,
        tenants: 3,
    };

    /// Returns the site that a keyword of the scenario files stands for.
    #[must_use]
    pub fn from_keyword(token: &str) -> Option<Self> {
        Some(match token {
            "reykjavik" => Topology::REYKJAVIK,
            "dakar" => Topology::DAKAR,
            "small" => Topology::SMALL,
            _ => return None,
        })
    }
}
