//! Connections as the node's logic names them.

use std::fmt;

/// Set in the numbers of links that this node opens itself.
const OUTGOING_BIT: u64 = 1 << 63;

/// Number of a connection, never used twice while a node runs.
///
/// The node numbers the links that it opens; whoever runs the node numbers the accepted ones,
/// from 1 upwards. The two ranges do not meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// The `number`-th link that the node opens.
    #[must_use]
    pub fn outgoing(number: u64) -> Self {
        Self(number | OUTGOING_BIT)
    }

    /// Whether the node itself opened the link.
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

/// How a link came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// Accepted by the listener: a control node or an agent, told apart by its frames.
    Incoming,
    /// Opened by this node, to a control node.
    Outgoing,
}
