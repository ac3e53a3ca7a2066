//! What a scenario expects beyond the checkers, which always run.

/// A measured figure of a run. Times are in milliseconds, shares in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Figure {
    /// Longest time from a backend's draining or death to its last new work.
    Drain,
    /// Longest time from an acknowledged revision to its rule over every node connected.
    Adoption,
    /// Longest time from an acknowledged revocation to the last use of the key.
    Revocation,
    /// Longest time without service after the machines were back.
    Recovery,
    /// Second sends per hundred first sends, fleet-wide.
    SecondSends,
    /// Client requests answered in full, in percent.
    Served,
    /// Orders acknowledged, counted.
    Orders,
}

impl Figure {
    /// Every figure.
    pub const ALL: [Figure; 7] = [
        Figure::Drain,
        Figure::Adoption,
        Figure::Revocation,
        Figure::Recovery,
        Figure::SecondSends,
        Figure::Served,
        Figure::Orders,
    ];

    /// The keyword of the figure in scenario files and reports.
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

    /// Unit of the figure's values.
    #[must_use]
    pub fn unit(self) -> &'static str {
        match self {
            Figure::SecondSends | Figure::Served => "%",
            Figure::Orders => "",
            _ => " ms",
        }
    }

    /// The figure with this keyword.
    #[must_use]
    pub fn from_keyword(keyword: &str) -> Option<Self> {
        Figure::ALL
            .into_iter()
            .find(|figure| figure.keyword() == keyword)
    }
}

/// On which side of its value a figure must stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The value is the largest allowed.
    AtMost,
    /// The value is the smallest allowed.
    AtLeast,
}

/// A bound on a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// The figure.
    pub figure: Figure,
    /// Which side is allowed.
    pub bound: Bound,
    /// Milliseconds, percent or a count.
    pub value: u64,
}
