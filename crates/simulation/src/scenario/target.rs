//! Selection of the machines or processes that a fault affects.

/// Kind of machine or process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A control node.
    ControlNode,
    /// A proxy node, with its agent and its proxy.
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

/// Selection among the machines or processes of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The machine or process with this number, from 1. Backends are counted among those not retired.
    Number(u16),
    /// One that is drawn at random when the fault begins.
    Any,
    /// The control node that leads the configuration shard when the fault begins.
    Leader,
    /// All of the kind.
    All,
}

/// Target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Kind of machine or process.
    pub kind: TargetKind,
    /// Selection among the kind.
    pub choice: Choice,
}

impl Target {
    /// Selects the machine or process of a kind with this number, from 1.
    #[must_use]
    pub fn number(kind: TargetKind, number: u16) -> Self {
        Self {
            kind,
            choice: Choice::Number(number),
        }
    }

    /// Selects all of a kind.
    #[must_use]
    pub fn all(kind: TargetKind) -> Self {
        Self {
            kind,
            choice: Choice::All,
        }
    }

    /// Selects one of a kind at random.
    #[must_use]
    pub fn any(kind: TargetKind) -> Self {
        Self {
            kind,
            choice: Choice::Any,
        }
    }
}
