//! One front machine: an agent and its proxy.

use std::net::SocketAddr;
use std::path::Path;

use super::binaries::Binaries;
use super::control_machine::ControlCommon;
use super::error::FleetError;
use super::fleet_process::{FleetProcess, ProcessSpec};
use super::settings_file::SettingsFile;

/// Program of an agent.
pub const AGENT_PROGRAM: &str = "millford-agent";
/// Program of a proxy.
pub const PROXY_PROGRAM: &str = "millford-proxy";

/// Place of one front machine.
#[derive(Clone, Debug)]
pub struct FrontPlace {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Loopback address of the agent for its proxy.
    pub local: SocketAddr,
    /// HTTP address of the agent.
    pub agent_http: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// One front machine.
#[derive(Debug)]
pub struct FrontMachine {
    /// Its place.
    pub place: FrontPlace,
    /// Its agent.
    pub agent: FleetProcess,
    /// Its proxy.
    pub proxy: FleetProcess,
}

impl FrontMachine {
    /// Starts both processes and waits until they are ready.
    pub async fn start(
        binaries: &Binaries,
        folder: &Path,
        common: &ControlCommon,
        place: FrontPlace,
    ) -> Result<Self, FleetError> {
        let agent = FleetProcess::start(agent_spec(binaries, folder, common, &place)?).await?;
        let proxy = FleetProcess::start(proxy_spec(binaries, folder, &place)?).await?;
        Ok(Self {
            place,
            agent,
            proxy,
        })
    }

    /// Starts the agent again.
    pub async fn restart_agent(&mut self) -> Result<(), FleetError> {
        self.agent.kill().await;
        self.agent = FleetProcess::start(self.agent.spec().clone()).await?;
        Ok(())
    }

    /// Starts the proxy again.
    pub async fn restart_proxy(&mut self) -> Result<(), FleetError> {
        self.proxy.kill().await;
        self.proxy = FleetProcess::start(self.proxy.spec().clone()).await?;
        Ok(())
    }
}

fn agent_spec(
    binaries: &Binaries,
    folder: &Path,
    common: &ControlCommon,
    place: &FrontPlace,
) -> Result<ProcessSpec, FleetError> {
    let name = format!("{}-agent", place.name);
    let settings = SettingsFile::default()
        .text("name", &place.name)
        .text("zone", &place.zone)
        .text("local_address", place.local)
        .text("http_address", place.agent_http)
        .list("seeds", &common.seeds)
        .text("registry_address", common.registry);
    process_spec(binaries.path(AGENT_PROGRAM)?, folder, name, &settings)
}

fn proxy_spec(
    binaries: &Binaries,
    folder: &Path,
    place: &FrontPlace,
) -> Result<ProcessSpec, FleetError> {
    let name = format!("{}-proxy", place.name);
    let settings = SettingsFile::default()
        .text("name", &place.name)
        .text("zone", &place.zone)
        .text("caller_address", place.callers)
        .text("agent_address", place.local);
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
