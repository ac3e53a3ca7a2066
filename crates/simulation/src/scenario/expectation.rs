//! Bounds that a scenario sets on measured figures, in addition to the checkers, which always run.

/// A measured figure of a run. Times are in milliseconds, shares in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Figure {
    /// Longest time from a backend's draining or failure to the last request that was sent to it.
    Drain,
    /// Longest time from the acknowledgement of a revision until every connected proxy node routes by it.
    Adoption,
    /// Longest time from the acknowledgement of a revocation to the last admission of the key.
    Revocation,
    /// Longest time from the end of the last fault to the first complete answer of a proxy node.
    Recovery,
    /// Second sends per hundred first sends, over the whole fleet.
    SecondSends,
    /// Share of client requests that got a complete answer, in percent.
    Served,
    /// Number of accepted orders, resends not counted.
    Orders,
}

impl Figure {
    /// Every figure, in the order of reports.
    pub const ALL: [Figure; 7] = [
        Figure::Drain,
        Figure::Adoption,
        Figure::Revocation,
        Figure::Recovery,
        Figure::SecondSends,
        Figure::Served,
        Figure::Orders,
    ];

    /// Returns the keyword of the figure in scenario files and reports.
    #[must_use]
    pub fn keyword(self) -> &'static str {
        match self {
            Figure::Drain => "drain",
            Figure::Adoption => "adoption",
            Figure::Revocation => "revocation",
            Figure::Recovery => "recovery",
            Figure::SecondSends => "second-sends",
            Figure::Served => "served",
            Figure::Orders => "orders",
        }
    }

    /// Returns the unit of the figure's values, as printed after a value.
    #[must_use]
    pub fn unit(self) -> &'static str {
        match self {
            Figure::SecondSends | Figure::Served => "%",
            Figure::Orders => "",
            _ => " ms",
        }
    }

    /// Returns the figure with this keyword.
    #[must_use]
    pub fn from_keyword(keyword: &str) -> Option<Self> {
        Figure::ALL
            .into_iter()
            .find(|figure| figure.keyword() == keyword)
    }
}

/// Kind of bound on a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Upper bound, inclusive.
    AtMost,
    /// Lower bound, inclusive.
    AtLeast,
}

/// A bound on a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// Figure that is bounded.
    pub figure: Figure,
    /// Whether `value` is an upper or a lower bound.
    pub bound: Bound,
    /// Bound in the unit of the figure: milliseconds, percent or a count.
    pub value: u64,
}
