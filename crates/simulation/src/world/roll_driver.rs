//! Plans rolling restarts.

use std::time::Duration;

use crate::network::ProcessId;
use crate::scenario::{Fault, RollKind, Target, TargetKind};
use crate::world::simulation::Simulation;

/// Time between the restarts of two control nodes.
const CONTROL_NODE_RESTART_PERIOD: Duration = Duration::from_secs(6);
/// Time between the restarts of two proxy nodes.
const PROXY_NODE_RESTART_PERIOD: Duration = Duration::from_secs(2);
/// Time between the retirements of two model backends.
const MODEL_RESTART_PERIOD: Duration = Duration::from_secs(1);
/// Time that each restarted machine is down.
const DOWN: Duration = Duration::from_secs(1);

impl Simulation {
    /// Plans a restart of every machine of a kind, one after the other.
    pub(super) fn plan_rolling_restart(&mut self, roll: RollKind) {
        let (kind, period) = match roll {
            RollKind::ControlNodes => (TargetKind::ControlNode, CONTROL_NODE_RESTART_PERIOD),
            RollKind::ProxyNodes => (TargetKind::ProxyNode, PROXY_NODE_RESTART_PERIOD),
            RollKind::Models => (TargetKind::Model, MODEL_RESTART_PERIOD),
        };
        let processes = self.resolve(Target::all(kind)).into_iter();
        let mut numbers: Vec<u16> = processes.map(ProcessId::number).collect();
        numbers.dedup();
        for (position, number) in (0_u32..).zip(numbers) {
            let fault = match roll {
                // Retired backends are not counted, so the next one to retire is always number 1.
                RollKind::Models => Fault::Retire {
                    target: Target::number(kind, 1),
                },
                _ => Fault::Kill {
                    target: Target::number(kind, number),
                    down: DOWN,
                },
            };
            self.plan_fault(period * position, fault);
        }
    }
}
