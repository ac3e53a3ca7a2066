//! One emulated backend as a process.

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

/// Program of the laboratory.
pub const LAB_PROGRAM: &str = "millford-lab";

/// Place of one backend.
#[derive(Clone, Debug)]
pub struct BackendPlace {
    /// Identity in the registry.
    pub id: String,
    /// Zone.
    pub zone: String,
    /// Kind of work.
    pub kind: BackendKind,
    /// Address it serves at.
    pub address: SocketAddr,
    /// Where it registers.
    pub registry: SocketAddr,
}

/// One emulated backend as a process.
#[derive(Debug)]
pub struct BackendMachine {
    /// Its place.
    pub place: BackendPlace,
    /// Its process.
    pub process: FleetProcess,
    execution_log: PathBuf,
}

impl BackendMachine {
    /// Starts the backend and waits until it is ready.
    pub async fn start(
        binaries: &Binaries,
        folder: &Path,
        place: BackendPlace,
    ) -> Result<Self, FleetError> {
        let execution_log = folder.join(format!("{}.executions", place.id));
        let kind = match place.kind {
            BackendKind::Model => "model",
            BackendKind::Lookup => "lookup",
        };
        let arguments = [
            "backend",
            "--id",
            &place.id,
            "--zone",
            &place.zone,
            "--kind",
            kind,
            "--address",
            &place.address.to_string(),
            "--registry",
            &place.registry.to_string(),
            "--execution-log",
            &execution_log.display().to_string(),
        ]
        .map(str::to_owned);
        let spec = ProcessSpec {
            name: place.id.clone(),
            program: binaries.path(LAB_PROGRAM)?,
            arguments: arguments.to_vec(),
            log: folder.join(format!("{}.log", place.id)),
        };
        let process = FleetProcess::start(spec).await?;
        Ok(Self {
            place,
            process,
            execution_log,
        })
    }

    /// Starts the process again under the same identity.
    pub async fn restart(&mut self) -> Result<(), FleetError> {
        self.process.kill().await;
        self.process = FleetProcess::start(self.process.spec().clone()).await?;
        Ok(())
    }

    /// Sets the fault switches.
    pub async fn set_faults(&self, faults: &FaultSwitches) -> Result<(), FleetError> {
        let path = "/admin/faults";
        let answer = send_json(self.place.address, Method::PUT, path, faults).await;
        match answer {
            Ok(answer) if answer.status.is_success() => Ok(()),
            Ok(answer) => Err(FleetError::Operator(format!(
                "fault switches: {}",
                answer.status
            ))),
            Err(error) => Err(FleetError::Operator(format!("fault switches: {error}"))),
        }
    }

    /// Every execution so far, over all restarts.
    pub fn executions(&self) -> Result<Vec<Execution>, FleetError> {
        read_execution_log(&self.execution_log).map_err(FleetError::io("reading an execution log"))
    }
}
