//! Injects faults into agents and proxies.

use super::driver::{Driver, Recovery};
use super::fault_kind::FaultKind;
use crate::fleet::FleetError;

impl Driver {
    /// Injects a fault into one or more proxy nodes and undoes it.
    ///
    /// # Errors
    /// An agent or proxy does not start again.
    pub async fn inject_proxy_fault(&mut self, kind: FaultKind) -> Result<Recovery, FleetError> {
        let index = self.draw(self.fleet.proxy_nodes.len());
        let name = self.fleet.proxy_nodes[index].spec.name.clone();
        match kind {
            FaultKind::AgentKill => self.fleet.proxy_nodes[index].restart_agent().await?,
            FaultKind::ProxyKill => self.fleet.proxy_nodes[index].restart_proxy().await?,
            FaultKind::ProxyNodeKillHalf => return self.kill_and_restart_half().await,
            _ => return self.restart_proxies_in_turn().await,
        }
        Ok(Recovery::now(&name))
    }

    async fn kill_and_restart_half(&mut self) -> Result<Recovery, FleetError> {
        let half = self.fleet.proxy_nodes.len() / 2;
        for proxy_node in &mut self.fleet.proxy_nodes[..half] {
            proxy_node.proxy.kill().await;
            proxy_node.agent.kill().await;
        }
        for proxy_node in &mut self.fleet.proxy_nodes[..half] {
            proxy_node.restart_agent().await?;
            proxy_node.restart_proxy().await?;
        }
        Ok(Recovery::now("half of the proxy nodes"))
    }

    async fn restart_proxies_in_turn(&mut self) -> Result<Recovery, FleetError> {
        for proxy_node in &mut self.fleet.proxy_nodes {
            proxy_node.proxy.shut_down().await;
            proxy_node.agent.shut_down().await;
            proxy_node.restart_agent().await?;
            proxy_node.restart_proxy().await?;
        }
        Ok(Recovery::now("every proxy node"))
    }
}
