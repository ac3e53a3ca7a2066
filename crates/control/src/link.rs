//! Links: the connections of a node, by number.

use std::fmt;

/// Bit that is set in the numbers of links that this node opens itself.
const OUTGOING_BIT: u64 = 1 << 63;

/// Number of a connection, unique while the node runs.
///
/// The node numbers the links that it opens; its host (daemon or simulator) numbers the accepted
/// ones, from 1 upwards. The two ranges do not overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// Number of the `number`-th link that the node opens.
    #[must_use]
    pub fn outgoing(number: u64) -> Self {
        Self(number | OUTGOING_BIT)
    }

    /// Whether this node opened the link.
    #[must_use]
    pub fn is_outgoing(self) -> bool {
        self.0 & OUTGOING_BIT != 0
    }
}

impl fmt::Display for LinkId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let direction = if self.is_outgoing() { "out" } else { "in" };
        write!(formatter, "{direction}-{}", self.0 & !OUTGOING_BIT)
    }
}

/// The side that opened a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// Accepted by the listener. The peer is a control node or an agent; its frames show which.
    Incoming,
    /// Opened by this node to a control node.
    Outgoing,
}
