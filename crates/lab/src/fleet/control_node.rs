//! Starts, restarts and wipes one control node.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::binaries::Binaries;
use super::error::FleetError;
use super::fleet_process::{FleetProcess, ProcessSpec};
use super::settings_file::SettingsFile;

/// File name of the control node's program.
pub const CONTROL_PROGRAM: &str = "millford-control";

/// Settings that all control nodes of a fleet share.
#[derive(Clone, Debug)]
pub struct ControlClusterSettings {
    /// Internal addresses of the control nodes, used to find the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Address of the service registry.
    pub registry: SocketAddr,
    /// SHA-256 of the operator key, in lower-case hexadecimal.
    pub operator_key_hash: String,
    /// Number of control nodes that form the cluster.
    pub cluster_size: u32,
}

/// Name, zone and addresses of one control node.
#[derive(Clone, Debug)]
pub struct ControlNodeSpec {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address for agents and other control nodes.
    pub internal: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// A control node with its process and data folder.
#[derive(Debug)]
pub struct ControlNode {
    /// Name, zone and addresses that it was started with.
    pub spec: ControlNodeSpec,
    /// Folder with the node's log and snapshots; kept over restarts.
    pub data_folder: PathBuf,
    /// Process of the node; it may have been killed.
    pub process: FleetProcess,
}

impl ControlNode {
    /// Starts the node and waits until it is ready.
    ///
    /// # Errors
    /// Its files cannot be written, or the process cannot be started or ends before it is ready.
    pub async fn start(
        binaries: &Binaries,
        folder: &Path,
        common: &ControlClusterSettings,
        spec: ControlNodeSpec,
    ) -> Result<Self, FleetError> {
        let data_folder = folder.join(format!("{}-data", spec.name));
        let process_spec = process_spec(binaries, folder, common, &spec, &data_folder)?;
        let process = FleetProcess::start(process_spec).await?;
        Ok(Self {
            spec,
            data_folder,
            process,
        })
    }

    /// Kills the process, if it runs, and starts it again with the same settings and data folder.
    ///
    /// # Errors
    /// The process cannot be started or ends before it is ready.
    pub async fn restart(&mut self) -> Result<(), FleetError> {
        self.process.restart().await
    }

    /// Kills the process and removes its data folder.
    ///
    /// # Errors
    /// [`FleetError::Io`] when the folder cannot be removed.
    pub async fn kill_and_wipe(&mut self) -> Result<(), FleetError> {
        self.process.kill().await;
        match std::fs::remove_dir_all(&self.data_folder) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(FleetError::Io {
                what: "removing a data folder".to_owned(),
                source: error,
            }),
            _ => Ok(()),
        }
    }
}

fn process_spec(
    binaries: &Binaries,
    folder: &Path,
    common: &ControlClusterSettings,
    spec: &ControlNodeSpec,
    data_folder: &Path,
) -> Result<ProcessSpec, FleetError> {
    std::fs::create_dir_all(data_folder).map_err(FleetError::io("creating a data folder"))?;
    let settings = SettingsFile::default()
        .text("zone", &spec.zone)
        .text("internal_address", &spec.internal)
        .text("operator_address", &spec.operator)
        .list("seeds", &common.seeds)
        .text("data_folder", &data_folder.display())
        .text("operator_key_hash", &common.operator_key_hash)
        .text("registry_address", &common.registry)
        .number("cluster_size", common.cluster_size);
    let path = settings.write(folder, &spec.name)?;
    Ok(ProcessSpec {
        name: spec.name.clone(),
        program: binaries.path(CONTROL_PROGRAM)?,
        arguments: vec!["--settings".to_owned(), path.display().to_string()],
        log: folder.join(format!("{}.log", spec.name)),
    })
}
