//! Starts, restarts and reconfigures the process of one emulated backend.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use http::Method;

use super::binaries::Binaries;
use super::error::FleetError;
use super::fleet_process::{FleetProcess, ProcessSpec};
use crate::caller::http_client::send_json;
use crate::emulator::execution::Execution;
use crate::emulator::execution_log::read_execution_log;
use crate::emulator::faults::FaultSwitches;
use crate::emulator::options::BackendKind;

/// File name of this crate's own program, which also runs the backends and the registry.
pub const LAB_PROGRAM: &str = "millford-lab";

/// Identity and settings of one emulated backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Identity in the registry; also the base name of its log files.
    pub id: String,
    /// Zone that the backend reports to the registry.
    pub zone: String,
    /// Whether it serves completions or lookups.
    pub kind: BackendKind,
    /// Address that the backend listens on.
    pub address: SocketAddr,
    /// Address of the service registry.
    pub registry: SocketAddr,
}

/// A running emulated backend.
#[derive(Debug)]
pub struct BackendProcess {
    /// Identity and settings that it was started with.
    pub spec: BackendSpec,
    /// Process of the backend; it may have been killed.
    pub process: FleetProcess,
    execution_log: PathBuf,
}

impl BackendProcess {
    /// Starts the backend and waits until it is ready.
    ///
    /// # Errors
    /// The program is missing, cannot be started or ends before it is ready.
    pub async fn start(
        binaries: &Binaries,
        folder: &Path,
        spec: BackendSpec,
    ) -> Result<Self, FleetError> {
        let execution_log = folder.join(format!("{}.executions", spec.id));
        let kind = match spec.kind {
            BackendKind::Model => "model",
            BackendKind::Lookup => "lookup",
        };
        let arguments = [
            "backend",
            "--id",
            &spec.id,
            "--zone",
            &spec.zone,
            "--kind",
            kind,
            "--address",
            &spec.address.to_string(),
            "--registry",
            &spec.registry.to_string(),
            "--execution-log",
            &execution_log.display().to_string(),
        ]
        .map(str::to_owned);
        let process_spec = ProcessSpec {
            name: spec.id.clone(),
            program: binaries.path(LAB_PROGRAM)?,
            arguments: arguments.to_vec(),
            log: folder.join(format!("{}.log", spec.id)),
        };
        let process = FleetProcess::start(process_spec).await?;
        Ok(Self {
            spec,
            process,
            execution_log,
        })
    }

    /// Restarts the process under the same identity.
    ///
    /// # Errors
    /// The process cannot be started or ends before it is ready.
    pub async fn restart(&mut self) -> Result<(), FleetError> {
        self.process.restart().await
    }

    /// Sets the fault switches.
    ///
    /// # Errors
    /// [`FleetError::Operator`] when the backend cannot be reached or rejects the switches.
    pub async fn set_faults(&self, faults: &FaultSwitches) -> Result<(), FleetError> {
        let path = "/admin/faults";
        let response = send_json(self.spec.address, Method::PUT, path, faults).await;
        match response {
            Ok(response) if response.status.is_success() => Ok(()),
            Ok(response) => Err(FleetError::Operator(format!(
                "setting fault switches: {}",
                response.status
            ))),
            Err(error) => Err(FleetError::Operator(format!(
                "setting fault switches: {error}"
            ))),
        }
    }

    /// Reads every execution so far, over all restarts, from the execution log.
    ///
    /// # Errors
    /// [`FleetError::Io`] when the execution log cannot be read.
    pub fn executions(&self) -> Result<Vec<Execution>, FleetError> {
        read_execution_log(&self.execution_log).map_err(FleetError::io("reading an execution log"))
    }
}
