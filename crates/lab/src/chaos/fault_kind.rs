//! The faults that the chaos command knows.

use std::str::FromStr;

use rand::Rng;
use rand::seq::SliceRandom;

macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// One kind of fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum FaultKind { $($(#[$doc])* $name,)* }

        impl FaultKind {
            /// Every kind.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$name),*];

            /// Name on the command line and in reports.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(FaultKind::$name => $text,)* }
            }
        }
    };
}

fault_kinds! {
    /// A backend is killed and comes back under its identity.
    BackendKill = "backend-kill";
    /// A backend is killed and another takes its place at a new address.
    BackendReplace = "backend-replace";
    /// A backend becomes unresponsive in the middle of its streams.
    BackendUnresponsive = "backend-dark";
    /// A backend is stopped for a while.
    BackendStop = "backend-stop";
    /// A backend rejects every request.
    BackendRefuse = "backend-refuse";
    /// A backend is ten times slower.
    BackendSlow = "backend-slow";
    /// A backend holds back its responses.
    BackendLate = "backend-late";
    /// A backend crosses its responses.
    BackendCrossed = "backend-crossed";
    /// A backend sends stray bytes after its responses.
    BackendStray = "backend-stray";
    /// A backend truncates its responses.
    BackendTruncation = "backend-cut";
    /// An operator drains a backend and readmits it.
    OperatorDrain = "operator-drain";
    /// The platform retires a backend and takes that back.
    PlatformDrain = "platform-drain";
    /// A control node is killed and comes back.
    ControlKill = "control-kill";
    /// The leader of the configuration is killed and comes back.
    LeaderKill = "leader-kill";
    /// A control node is stopped for more than twenty seconds.
    ControlStop = "control-stop";
    /// A control node is killed, its disk wiped, and it comes back at its address.
    ControlWipe = "control-wipe";
    /// A control node is replaced by an empty one at a new address.
    ControlReplace = "control-replace";
    /// The same, and another control node is killed right after the repair.
    ControlSecondLoss = "control-second-loss";
    /// The control nodes are shut down and restarted one by one.
    ControlRolling = "control-rolling";
    /// Every control node is killed and comes back.
    ControlHerd = "control-herd";
    /// An agent is killed and comes back.
    AgentKill = "agent-kill";
    /// A proxy is killed and comes back.
    ProxyKill = "proxy-kill";
    /// All agents and proxies of one half of the site are killed and come back.
    FrontHerd = "front-herd";
    /// The proxy nodes are shut down and restarted one by one.
    FrontRolling = "front-rolling";
    /// Two operators build on the same number, at two nodes.
    OperatorRace = "operator-race";
    /// An order's response is lost; it is sent again to another node.
    OrderResent = "order-resent";
    /// A tenant's keys are revoked, and restored later.
    KeyRevocation = "key-revocation";
    /// The tenant with the smallest quota sends far more than it.
    HotTenant = "hot-tenant";
    /// Three hundred changes, then a full restart of the control plane.
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
    /// Every kind once, in an order drawn from `random`.
    pub fn shuffled(random: &mut impl Rng) -> Vec<FaultKind> {
        let mut kinds = Self::ALL.to_vec();
        kinds.shuffle(random);
        kinds
    }

    /// Whether the fault is one of backends.
    #[must_use]
    pub fn targets_backend(self) -> bool {
        self.name().starts_with("backend-") || self.name().ends_with("-drain")
    }

    /// Whether the fault may disconnect proxy nodes from the control plane for a while.
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
                | FaultKind::ControlHerd
                | FaultKind::AgentKill
                | FaultKind::ProxyKill
                | FaultKind::FrontHerd
                | FaultKind::FrontRolling
                | FaultKind::FullRestart
        )
    }
}
