//! Starts and restarts the agent and the proxy of one proxy node.

use std::net::SocketAddr;
use std::path::Path;

use super::binaries::Binaries;
use super::control_node::ControlClusterSettings;
use super::error::FleetError;
use super::fleet_process::{FleetProcess, ProcessSpec};
use super::settings_file::SettingsFile;

/// File name of the agent's program.
pub const AGENT_PROGRAM: &str = "millford-agent";
/// File name of the proxy's program.
pub const PROXY_PROGRAM: &str = "millford-proxy";

/// Name, zone and addresses of one proxy node.
#[derive(Clone, Debug)]
pub struct ProxyNodeSpec {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address on which the agent accepts connections of its proxy.
    pub local: SocketAddr,
    /// Address of the agent's HTTP server.
    pub agent_http: SocketAddr,
    /// Address on which the proxy accepts requests of callers.
    pub callers: SocketAddr,
}

/// An agent and its proxy.
#[derive(Debug)]
pub struct ProxyNode {
    /// Name, zone and addresses that both were started with.
    pub spec: ProxyNodeSpec,
    /// Process of the agent; it may have been killed.
    pub agent: FleetProcess,
    /// Process of the proxy; it may have been killed.
    pub proxy: FleetProcess,
}

impl ProxyNode {
    /// Starts both processes and waits until they are ready.
    ///
    /// # Errors
    /// Their files cannot be written, or a process cannot be started or ends before it is ready.
    pub async fn start(
        binaries: &Binaries,
        folder: &Path,
        common: &ControlClusterSettings,
        spec: ProxyNodeSpec,
    ) -> Result<Self, FleetError> {
        let agent = FleetProcess::start(agent_spec(binaries, folder, common, &spec)?).await?;
        let proxy = FleetProcess::start(proxy_spec(binaries, folder, &spec)?).await?;
        Ok(Self { spec, agent, proxy })
    }

    /// Kills the agent, if it runs, and starts it again with the same settings.
    ///
    /// # Errors
    /// The process cannot be started or ends before it is ready.
    pub async fn restart_agent(&mut self) -> Result<(), FleetError> {
        self.agent.restart().await
    }

    /// Kills the proxy, if it runs, and starts it again with the same settings.
    ///
    /// # Errors
    /// The process cannot be started or ends before it is ready.
    pub async fn restart_proxy(&mut self) -> Result<(), FleetError> {
        self.proxy.restart().await
    }
}

fn agent_spec(
    binaries: &Binaries,
    folder: &Path,
    common: &ControlClusterSettings,
    spec: &ProxyNodeSpec,
) -> Result<ProcessSpec, FleetError> {
    let name = format!("{}-agent", spec.name);
    let settings = SettingsFile::default()
        .text("name", &spec.name)
        .text("zone", &spec.zone)
        .text("local_address", &spec.local)
        .text("http_address", &spec.agent_http)
        .list("seeds", &common.seeds)
        .text("registry_address", &common.registry);
    process_spec(binaries.path(AGENT_PROGRAM)?, folder, name, &settings)
}

fn proxy_spec(
    binaries: &Binaries,
    folder: &Path,
    spec: &ProxyNodeSpec,
) -> Result<ProcessSpec, FleetError> {
    let name = format!("{}-proxy", spec.name);
    let settings = SettingsFile::default()
        .text("name", &spec.name)
        .text("zone", &spec.zone)
        .text("caller_address", &spec.callers)
        .text("agent_address", &spec.local);
    process_spec(binaries.path(PROXY_PROGRAM)?, folder, name, &settings)
}

fn process_spec(
    program: std::path::PathBuf,
    folder: &Path,
    name: String,
    settings: &SettingsFile,
) -> Result<ProcessSpec, FleetError> {
    let path = settings.write(folder, &name)?;
    Ok(ProcessSpec {
        program,
        arguments: vec!["--settings".to_owned(), path.display().to_string()],
        log: folder.join(format!("{name}.log")),
        name,
    })
}
