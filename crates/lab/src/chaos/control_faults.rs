//! Faults of control nodes.

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
const SHORTEST: Duration = Duration::from_secs(1);
/// Longest outage of a killed control node. Shorter than the time after which it is replaced.
const LONGEST: Duration = Duration::from_secs(4);
/// How long a control node is stopped.
const STOPPED: Duration = Duration::from_secs(22);

impl Driver {
    /// Strikes one or more control nodes.
    ///
    /// # Errors
    /// A control node does not start again.
    pub async fn inject_control_fault(&mut self, kind: FaultKind) -> Result<Recovery, FleetError> {
        let index = self.draw(self.fleet.controls.len());
        let name = self.fleet.controls[index].spec.name.clone();
        let outage = self.draw_time(SHORTEST, LONGEST);
        match kind {
            FaultKind::LeaderKill => return self.kill_leader(outage).await,
            FaultKind::ControlStop => {
                self.fleet.controls[index].process.signal(Signal::STOP);
                sleep(STOPPED).await;
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
            FaultKind::ControlHerd => {
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

    /// Starts every control node again, together.
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

    /// Replaces one control node and, right after the repair, kills another.
    async fn kill_second_after_repair(&mut self, index: usize) -> Result<Recovery, FleetError> {
        self.fleet.replace_control(index).await?;
        wait_for_repair(&self.fleet).await?;
        let second = (index + 1) % self.fleet.controls.len();
        let name = self.fleet.controls[second].spec.name.clone();
        self.fleet.controls[second].process.kill().await;
        // With the new node and the one left there is a quorum: an order must pass.
        self.change(|_| {}).await?;
        self.fleet.controls[second].restart().await?;
        Ok(Recovery::now(&format!("a replacement, then {name}")))
    }

    async fn restart_control_nodes_in_turn(&mut self) -> Result<Recovery, FleetError> {
        for index in 0..self.fleet.controls.len() {
            self.fleet.controls[index].process.leave().await;
            self.fleet.controls[index].restart().await?;
            wait_for_repair(&self.fleet).await?;
        }
        Ok(Recovery::now("every control node"))
    }
}
