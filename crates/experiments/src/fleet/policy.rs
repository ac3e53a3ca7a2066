//! How proxies choose a backend.

/// A way to choose, ours or one that it replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Each proxy goes round.
    RoundRobin,
    /// One at random.
    Random,
    /// The better of two by open requests on the whole host, all models alike.
    HostTotal,
    /// The least open requests on the whole host, over all backends.
    HostTotalLeast,
    /// The better of two by the utilization that backends reported some seconds ago.
    StaleReported,
    /// The least true work left over all backends: what no node can know. A bound, not a choice.
    Oracle,
    /// The home of the affinity key, whatever its load.
    PureHash,
    /// The project's routing, without affinity.
    MillfordWithoutAffinity,
    /// The project's routing.
    Millford,
}

impl Policy {
    /// Name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Policy::RoundRobin => "round robin",
            Policy::Random => "random",
            Policy::HostTotal => "host total, best of two",
            Policy::HostTotalLeast => "host total, least of all",
            Policy::StaleReported => "stale reported load",
            Policy::Oracle => "oracle",
            Policy::PureHash => "pure hashing",
            Policy::MillfordWithoutAffinity => "millford, no affinity",
            Policy::Millford => "millford",
        }
    }

    /// Whether it is the project's own.
    #[must_use]
    pub fn is_ours(self) -> bool {
        matches!(self, Policy::Millford | Policy::MillfordWithoutAffinity)
    }
}
