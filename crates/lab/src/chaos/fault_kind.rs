//! Kinds of faults that the chaos command can inject.

use std::str::FromStr;

use rand::Rng;
use rand::seq::SliceRandom;

macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// Kind of fault that the chaos command can inject.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum FaultKind { $($(#[$doc])* $name,)* }

        impl FaultKind {
            /// Every kind, in the order of declaration.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$name),*];

            /// Returns the name on the command line and in reports.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(FaultKind::$name => $text,)* }
            }
        }
    };
}

fault_kinds! {
    /// A backend is killed and restarted under the same identity.
    BackendKill = "backend-kill";
    /// A backend is killed and replaced by one with a new identity and address.
    BackendReplace = "backend-replace";
    /// A backend stops responding, also on open streams, but keeps its connections.
    BackendUnresponsive = "backend-dark";
    /// A backend process is stopped with SIGSTOP and continued later.
    BackendStop = "backend-stop";
    /// A backend rejects every request.
    BackendRefuse = "backend-refuse";
    /// A backend is ten times slower.
    BackendSlow = "backend-slow";
    /// A backend delays its responses.
    BackendLate = "backend-late";
    /// A backend sends responses with the attempt id and text of another request.
    BackendCrossed = "backend-crossed";
    /// A backend sends stray bytes after its responses.
    BackendStray = "backend-stray";
    /// A backend truncates its responses.
    BackendTruncation = "backend-cut";
    /// A backend sends interim responses without an end.
    BackendEndlessHead = "backend-endless-head";
    /// A backend sends events and bodies without an end.
    BackendEndlessBody = "backend-endless-body";
    /// An operator drains a backend and readmits it later.
    OperatorDrain = "operator-drain";
    /// The platform's registry lists a backend as draining and later as active again.
    PlatformDrain = "platform-drain";
    /// A control node is killed and restarted.
    ControlKill = "control-kill";
    /// The leader of the configuration shard is killed and restarted.
    LeaderKill = "leader-kill";
    /// A control node is stopped with SIGSTOP for more than twenty seconds.
    ControlStop = "control-stop";
    /// A control node is killed and restarted at its address with an empty data folder.
    ControlWipe = "control-wipe";
    /// A control node is replaced by one with an empty data folder at a new address.
    ControlReplace = "control-replace";
    /// A control node is replaced, and another is killed as soon as the shards are repaired.
    ControlSecondLoss = "control-second-loss";
    /// The control nodes are shut down and restarted one by one.
    ControlRolling = "control-rolling";
    /// All control nodes are killed and restarted together.
    ControlKillAll = "control-herd";
    /// An agent is killed and restarted.
    AgentKill = "agent-kill";
    /// A proxy is killed and restarted.
    ProxyKill = "proxy-kill";
    /// The agents and proxies of half of the proxy nodes are killed and restarted.
    ProxyNodeKillHalf = "front-herd";
    /// The proxy nodes are shut down and restarted one by one.
    ProxyNodeRolling = "front-rolling";
    /// Two operators send orders on the same base revision to two control nodes at once.
    OperatorRace = "operator-race";
    /// The response to an order is lost; the order is sent again to another control node.
    OrderResent = "order-resent";
    /// The keys of a tenant are revoked and restored later.
    KeyRevocation = "key-revocation";
    /// The tenant with the smallest quota sends far more than its quota allows.
    HotTenant = "hot-tenant";
    /// All control nodes are killed and restarted after three hundred configuration changes.
    FullRestart = "full-restart";
}

impl FromStr for FaultKind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        Self::ALL
            .iter()
            .copied()
            .find(|kind| kind.name() == text)
            .ok_or(())
    }
}

impl FaultKind {
    /// Returns every kind once, in an order drawn from `random`.
    pub fn shuffled(random: &mut impl Rng) -> Vec<FaultKind> {
        let mut kinds = Self::ALL.to_vec();
        kinds.shuffle(random);
        kinds
    }

    /// Returns whether the fault is injected into a backend.
    #[must_use]
    pub fn targets_backend(self) -> bool {
        self.name().starts_with("backend-") || self.name().ends_with("-drain")
    }

    /// Returns whether the fault may disconnect proxy nodes from the control plane for a while.
    #[must_use]
    pub fn disturbs_control(self) -> bool {
        matches!(
            self,
            FaultKind::ControlKill
                | FaultKind::LeaderKill
                | FaultKind::ControlStop
                | FaultKind::ControlWipe
                | FaultKind::ControlReplace
                | FaultKind::ControlSecondLoss
                | FaultKind::ControlRolling
                | FaultKind::ControlKillAll
                | FaultKind::AgentKill
                | FaultKind::ProxyKill
                | FaultKind::ProxyNodeKillHalf
                | FaultKind::ProxyNodeRolling
                | FaultKind::FullRestart
        )
    }
}
