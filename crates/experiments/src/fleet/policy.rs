//! Policies by which proxies choose a backend.

/// The project's policy for choosing a backend, or one that it is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Each proxy uses the backends in turn.
    RoundRobin,
    /// A backend is drawn at random.
    Random,
    /// The better of two random backends by open requests of all models.
    HostTotal,
    /// The backend with the fewest open requests of all models.
    HostTotalLeast,
    /// The better of two random backends by the utilization that they reported some seconds ago.
    StaleReported,
    /// The backend with the least outstanding work. No real proxy has this information; it serves as a bound.
    Oracle,
    /// The home of the affinity key by rendezvous hashing, regardless of its load.
    PureHash,
    /// The project's routing without affinity.
    MillfordWithoutAffinity,
    /// The project's routing.
    Millford,
}

impl Policy {
    /// Returns the name in tables and charts.
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

    /// Returns whether this is the project's routing, with or without affinity.
    #[must_use]
    pub fn is_project_routing(self) -> bool {
        matches!(self, Policy::Millford | Policy::MillfordWithoutAffinity)
    }
}
