//! Faults of agents and proxies.

use super::driver::{Driver, Healed};
use super::fault_kind::FaultKind;
use crate::fleet::FleetError;

impl Driver {
    /// Strikes one or more front machines.
    pub async fn strike_front(&mut self, kind: FaultKind) -> Result<Healed, FleetError> {
        let index = self.draw(self.fleet.fronts.len());
        let name = self.fleet.fronts[index].place.name.clone();
        match kind {
            FaultKind::AgentKill => self.fleet.fronts[index].restart_agent().await?,
            FaultKind::ProxyKill => self.fleet.fronts[index].restart_proxy().await?,
            FaultKind::FrontHerd => return self.kill_half().await,
            _ => return self.roll_fronts().await,
        }
        Ok(Healed::now(&name))
    }

    async fn kill_half(&mut self) -> Result<Healed, FleetError> {
        let half = self.fleet.fronts.len() / 2;
        for front in &mut self.fleet.fronts[..half] {
            front.proxy.kill().await;
            front.agent.kill().await;
        }
        for front in &mut self.fleet.fronts[..half] {
            front.restart_agent().await?;
            front.restart_proxy().await?;
        }
        Ok(Healed::now("half of the front machines"))
    }

    async fn roll_fronts(&mut self) -> Result<Healed, FleetError> {
        for front in &mut self.fleet.fronts {
            front.proxy.leave().await;
            front.agent.leave().await;
            front.restart_agent().await?;
            front.restart_proxy().await?;
        }
        Ok(Healed::now("every front machine"))
    }
}
