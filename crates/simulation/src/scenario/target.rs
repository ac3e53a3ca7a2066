//! What a fault strikes.

/// Kind of machine or process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A control node and its control node.
    ControlNode,
    /// A proxy node: agent and proxy.
    ProxyNode,
    /// The agent of a proxy node.
    Agent,
    /// The proxy of a proxy node.
    Proxy,
    /// A model backend.
    Model,
    /// A lookup backend.
    Lookup,
}

/// Which of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The one with this number, from 1.
    Number(u16),
    /// One drawn by the seed when the fault comes.
    Any,
    /// The control node that leads the configuration shard when the fault comes.
    Leader,
    /// Every one.
    All,
}

/// Target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Kind of machine or process.
    pub kind: TargetKind,
    /// Which of the kind.
    pub choice: Choice,
}

impl Target {
    /// The one of a kind with this number, from 1.
    #[must_use]
    pub fn number(kind: TargetKind, number: u16) -> Self {
        Self {
            kind,
            choice: Choice::Number(number),
        }
    }

    /// Every one of a kind.
    #[must_use]
    pub fn all(kind: TargetKind) -> Self {
        Self {
            kind,
            choice: Choice::All,
        }
    }

    /// One of a kind, drawn by the seed.
    #[must_use]
    pub fn any(kind: TargetKind) -> Self {
        Self {
            kind,
            choice: Choice::Any,
        }
    }
}
