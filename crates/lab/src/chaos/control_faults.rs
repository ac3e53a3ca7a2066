//! Injects faults into control nodes.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use super::driver::{Driver, Recovery};
use super::fault_kind::FaultKind;
use super::status_view::wait_for_repair;
use crate::demo::faults::leader_index;
use crate::fleet::FleetError;
use crate::fleet::control_node::ControlNode;

/// Shortest outage of a killed control node.
const SHORTEST_OUTAGE: Duration = Duration::from_secs(1);
/// Longest outage of a killed control node; shorter than the time after which the cluster replaces it.
const LONGEST_OUTAGE: Duration = Duration::from_secs(4);
/// Duration for which a control node is stopped; longer than the default of `replace_after_ms`, 5 s.
const STOP_DURATION: Duration = Duration::from_secs(22);

impl Driver {
    /// Injects a fault into one or more control nodes and undoes it.
    ///
    /// # Errors
    /// A control node does not start again, a shard is not repaired in time, or an order fails.
    pub async fn inject_control_fault(&mut self, kind: FaultKind) -> Result<Recovery, FleetError> {
        let index = self.draw(self.fleet.controls.len());
        let name = self.fleet.controls[index].spec.name.clone();
        let outage = self.draw_time(SHORTEST_OUTAGE, LONGEST_OUTAGE);
        match kind {
            FaultKind::LeaderKill => return self.kill_leader(outage).await,
            FaultKind::ControlStop => {
                self.fleet.controls[index].process.signal(Signal::STOP);
                sleep(STOP_DURATION).await;
                self.fleet.controls[index].process.signal(Signal::CONT);
            }
            FaultKind::ControlWipe => {
                self.fleet.controls[index].kill_and_wipe().await?;
                sleep(outage).await;
                self.fleet.controls[index].restart().await?;
            }
            FaultKind::ControlReplace => self.fleet.replace_control(index).await?,
            FaultKind::ControlSecondLoss => return self.kill_second_after_repair(index).await,
            FaultKind::ControlRolling => return self.restart_control_nodes_in_turn().await,
            FaultKind::ControlKillAll => {
                self.kill_every_control().await;
                sleep(outage).await;
                self.restart_every_control().await?;
                return Ok(Recovery::now("every control node"));
            }
            _ => {
                self.fleet.controls[index].process.kill().await;
                sleep(outage).await;
                self.fleet.controls[index].restart().await?;
            }
        }
        Ok(Recovery::now(&name))
    }

    /// Kills every control node.
    pub async fn kill_every_control(&mut self) {
        for control in &mut self.fleet.controls {
            control.process.kill().await;
        }
    }

    /// Restarts all control nodes concurrently.
    ///
    /// # Errors
    /// A control node does not start again.
    pub async fn restart_every_control(&mut self) -> Result<(), FleetError> {
        let restarts = self.fleet.controls.iter_mut().map(ControlNode::restart);
        futures::future::try_join_all(restarts).await?;
        Ok(())
    }

    async fn kill_leader(&mut self, outage: Duration) -> Result<Recovery, FleetError> {
        let status = self
            .fleet
            .operator
            .status(self.fleet.operator_address())
            .await;
        let leader = status
            .as_ref()
            .and_then(|status| leader_index(&self.fleet, status));
        let index = leader.unwrap_or(0);
        let name = self.fleet.controls[index].spec.name.clone();
        self.fleet.controls[index].process.kill().await;
        sleep(outage).await;
        self.fleet.controls[index].restart().await?;
        Ok(Recovery::now(&name))
    }

    /// Replaces one control node and kills another as soon as the shards are repaired.
    async fn kill_second_after_repair(&mut self, index: usize) -> Result<Recovery, FleetError> {
        self.fleet.replace_control(index).await?;
        wait_for_repair(&self.fleet).await?;
        let second = (index + 1) % self.fleet.controls.len();
        let name = self.fleet.controls[second].spec.name.clone();
        self.fleet.controls[second].process.kill().await;
        // The replacement and the remaining node form a quorum, so an order must be accepted.
        self.change(|_| {}).await?;
        self.fleet.controls[second].restart().await?;
        Ok(Recovery::now(&format!("a replacement, then {name}")))
    }

    async fn restart_control_nodes_in_turn(&mut self) -> Result<Recovery, FleetError> {
        for index in 0..self.fleet.controls.len() {
            self.fleet.controls[index].process.shut_down().await;
            self.fleet.controls[index].restart().await?;
            wait_for_repair(&self.fleet).await?;
        }
        Ok(Recovery::now("every control node"))
    }
}
