//! One core machine: a control node with its data folder.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::binaries::Binaries;
use super::error::FleetError;
use super::fleet_process::{FleetProcess, ProcessSpec};
use super::settings_file::SettingsFile;

/// Program of a control node.
pub const CONTROL_PROGRAM: &str = "millford-control";

/// What every control node of a fleet is told.
#[derive(Clone, Debug)]
pub struct ControlCommon {
    /// Seed addresses.
    pub seeds: Vec<SocketAddr>,
    /// Address of the service registry.
    pub registry: SocketAddr,
    /// SHA-256 of the operator credential.
    pub operator_key_hash: String,
    /// Nodes that form the cluster.
    pub cluster_size: u32,
}

/// Place of one control node.
#[derive(Clone, Debug)]
pub struct ControlPlace {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address for agents and other control nodes.
    pub internal: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// One core machine.
#[derive(Debug)]
pub struct ControlMachine {
    /// Its place.
    pub place: ControlPlace,
    /// Its data folder.
    pub data_folder: PathBuf,
    /// Its process.
    pub process: FleetProcess,
}

impl ControlMachine {
    /// Starts the node and waits until it is ready.
    pub async fn start(
        binaries: &Binaries,
        folder: &Path,
        common: &ControlCommon,
        place: ControlPlace,
    ) -> Result<Self, FleetError> {
        let data_folder = folder.join(format!("{}-data", place.name));
        let spec = spec(binaries, folder, common, &place, &data_folder)?;
        let process = FleetProcess::start(spec).await?;
        Ok(Self {
            place,
            data_folder,
            process,
        })
    }

    /// Starts the process again, with what is left in its data folder.
    pub async fn restart(&mut self) -> Result<(), FleetError> {
        self.process.kill().await;
        self.process = FleetProcess::start(self.process.spec().clone()).await?;
        Ok(())
    }

    /// Kills the process and empties its data folder.
    pub async fn kill_and_wipe(&mut self) -> Result<(), FleetError> {
        self.process.kill().await;
        match std::fs::remove_dir_all(&self.data_folder) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(FleetError::Io {
                what: "wiping a data folder".to_owned(),
                source: error,
            }),
            _ => Ok(()),
        }
    }
}

fn spec(
    binaries: &Binaries,
    folder: &Path,
    common: &ControlCommon,
    place: &ControlPlace,
    data_folder: &Path,
) -> Result<ProcessSpec, FleetError> {
    std::fs::create_dir_all(data_folder).map_err(FleetError::io("making a data folder"))?;
    let settings = SettingsFile::default()
        .text("zone", &place.zone)
        .text("internal_address", place.internal)
        .text("operator_address", place.operator)
        .list("seeds", &common.seeds)
        .text("data_folder", data_folder.display())
        .text("operator_key_hash", &common.operator_key_hash)
        .text("registry_address", common.registry)
        .number("cluster_size", common.cluster_size);
    let path = settings.write(folder, &place.name)?;
    Ok(ProcessSpec {
        name: place.name.clone(),
        program: binaries.path(CONTROL_PROGRAM)?,
        arguments: vec!["--settings".to_owned(), path.display().to_string()],
        log: folder.join(format!("{}.log", place.name)),
    })
}
