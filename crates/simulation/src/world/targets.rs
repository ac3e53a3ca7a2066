//! Resolves the targets of faults.

use rand::Rng;

use crate::network::ProcessId;
use crate::scenario::{Choice, Target, TargetKind};
use crate::world::backend::BackendKind;
use crate::world::simulation::Simulation;

impl Simulation {
    /// Returns the processes that a target selects now.
    pub(super) fn resolve(&mut self, target: Target) -> Vec<ProcessId> {
        let present = self.present(target.kind);
        let numbers = match target.choice {
            Choice::All => present,
            Choice::Number(number) => numbered(target.kind, &present, number),
            Choice::Any => self.draw_one(&present),
            Choice::Leader => match self.configuration_leader() {
                Some(leader) => vec![leader],
                None => self.draw_one(&present),
            },
        };
        let processes = numbers.into_iter().flat_map(|number| match target.kind {
            TargetKind::ControlNode => vec![ProcessId::Control(number)],
            TargetKind::ProxyNode => vec![ProcessId::Agent(number), ProcessId::Proxy(number)],
            TargetKind::Agent => vec![ProcessId::Agent(number)],
            TargetKind::Proxy => vec![ProcessId::Proxy(number)],
            TargetKind::Model | TargetKind::Lookup => vec![ProcessId::Backend(number)],
        });
        processes.collect()
    }

    fn present(&self, kind: TargetKind) -> Vec<u16> {
        match kind {
            TargetKind::ControlNode => {
                let controls = self.controls.iter().filter(|(_, it)| !it.lost);
                controls.map(|(number, _)| *number).collect()
            }
            TargetKind::ProxyNode | TargetKind::Agent | TargetKind::Proxy => {
                self.proxies.keys().copied().collect()
            }
            TargetKind::Model => self.present_backends(BackendKind::Model),
            TargetKind::Lookup => self.present_backends(BackendKind::Lookup),
        }
    }

    fn present_backends(&self, kind: BackendKind) -> Vec<u16> {
        let backends = self.backends.iter();
        let present = backends.filter(|(_, it)| it.kind == kind && !it.retired);
        present.map(|(number, _)| *number).collect()
    }

    fn draw_one(&mut self, present: &[u16]) -> Vec<u16> {
        if present.is_empty() {
            return Vec::new();
        }
        let index = self.random.random_range(0..present.len());
        vec![present[index]]
    }

    /// Returns the first control node that considers itself the leader of the configuration shard.
    #[must_use]
    pub(super) fn configuration_leader(&self) -> Option<u16> {
        let shard = millford_core::ShardId::CONFIGURATION;
        let mut leaders = self.controls.iter().filter(|(_, control)| {
            let node = control.node.as_ref();
            node.is_some_and(|node| {
                let status = node.gateway().replica_statuses().get(&shard);
                status.is_some_and(|status| status.leader == node.identity())
            })
        });
        leaders.next().map(|(number, _)| *number)
    }

    /// Returns whether every control node that is not lost runs and has replicas, and each of its replicas has
    /// at least three voters, all of them such nodes.
    ///
    /// Only then may a fault destroy a disk, since the guarantee covers the loss of any one disk.
    #[must_use]
    pub(super) fn is_fully_replicated(&self) -> bool {
        let present = self.controls.values().filter(|control| !control.lost);
        let nodes: Option<Vec<_>> = present.map(|control| control.node.as_ref()).collect();
        let Some(nodes) = nodes else { return false };
        let identities: Vec<_> = nodes.iter().map(|node| node.identity()).collect();
        nodes.iter().all(|node| {
            let replica_statuses = node.gateway().replica_statuses();
            !replica_statuses.is_empty()
                && replica_statuses.values().all(|status| {
                    status.voters.len() >= 3
                        && status.voters.iter().all(|it| identities.contains(it))
                })
        })
    }
}

/// Selects by number: control nodes and proxy nodes by their own number, backends by their position among
/// those not retired.
fn numbered(kind: TargetKind, present: &[u16], number: u16) -> Vec<u16> {
    let by_position = matches!(kind, TargetKind::Model | TargetKind::Lookup);
    if by_position {
        let position = usize::from(number.saturating_sub(1));
        return present.get(position).copied().into_iter().collect();
    }
    present.iter().copied().filter(|it| *it == number).collect()
}
