//! A complete fleet on loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use millford_core::hash_tenant_key;
use tempfile::TempDir;

use super::backend_process::{BackendProcess, BackendSpec, LAB_PROGRAM};
use super::binaries::Binaries;
use super::control_node::{ControlClusterSettings, ControlNode, ControlNodeSpec};
use super::error::FleetError;
use super::fleet_process::{FleetProcess, ProcessSpec};
use super::node_specs::{control_node_specs, proxy_node_spec};
use super::operator::{CTL_PROGRAM, Operator};
use super::ports::free_addresses;
use super::proxy_node::ProxyNode;
use super::site::SitePlan;
use super::waiting::{is_ready, wait_for};
use crate::emulator::execution::Execution;
use crate::emulator::options::BackendKind;

/// Longest wait for the fleet to serve after the configuration was accepted.
const SERVE_BOUND: Duration = Duration::from_secs(20);

/// A complete fleet on loopback. Dropping it kills every process of it.
#[derive(Debug)]
pub struct Fleet {
    /// What it consists of.
    pub plan: SitePlan,
    /// Registry process.
    pub registry: FleetProcess,
    /// Registry address.
    pub registry_address: SocketAddr,
    /// Control nodes.
    pub controls: Vec<ControlNode>,
    /// Front machines.
    pub proxy_nodes: Vec<ProxyNode>,
    /// Backends, model backends first.
    pub backends: Vec<BackendProcess>,
    /// Backends that were replaced; their execution logs still count.
    pub retired_backends: Vec<BackendProcess>,
    /// Operator addresses of the control nodes, for tasks that run beside the fleet.
    pub operator_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// Operator's side.
    pub operator: Operator,
    /// Settings that all control nodes share.
    pub common: ControlClusterSettings,
    /// The programs.
    pub binaries: Binaries,
    folder: TempDir,
    control_names: usize,
    backend_names: usize,
}

impl Fleet {
    /// Starts every process; each is ready when this returns, none is configured.
    ///
    /// # Errors
    /// A program is missing, no address is free, or a process does not start; the folder with the logs stays then.
    pub async fn start(plan: SitePlan, binaries: Binaries) -> Result<Self, FleetError> {
        let folder = tempfile::Builder::new()
            .prefix("millford-lab-")
            .tempdir()
            .map_err(FleetError::io("making a folder"))?;
        let addresses = free_addresses(1 + plan.controls * 2)?;
        let registry_address = addresses[0];
        let operator_key = format!("operator-{:016x}", rand::random::<u64>());
        let specs = control_node_specs(&plan, &addresses[1..]);
        let common = ControlClusterSettings {
            seeds: specs.iter().map(|spec| spec.internal).collect(),
            registry: registry_address,
            operator_key_hash: hash_tenant_key(&operator_key),
            cluster_size: u32::try_from(plan.controls).unwrap_or(3),
        };
        let registry = start_registry(&binaries, folder.path(), registry_address).await?;
        let operator = Operator {
            key: operator_key,
            ctl: binaries.path(CTL_PROGRAM)?,
        };
        let mut fleet = Self {
            plan,
            registry,
            registry_address,
            controls: Vec::new(),
            proxy_nodes: Vec::new(),
            backends: Vec::new(),
            retired_backends: Vec::new(),
            operator_addresses: Arc::default(),
            operator,
            common,
            binaries,
            folder,
            control_names: 0,
            backend_names: 0,
        };
        match fleet.start_machines(specs).await {
            Ok(()) => Ok(fleet),
            Err(error) => {
                // The error names a log in it.
                fleet.keep_folder();
                Err(error)
            }
        }
    }

    async fn start_machines(&mut self, specs: Vec<ControlNodeSpec>) -> Result<(), FleetError> {
        self.start_backends().await?;
        self.start_controls(specs).await?;
        self.start_proxy_nodes().await
    }

    /// Folder of settings, logs and data.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Operator address of a control node that runs, the first one.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.controls[0].spec.operator
    }

    /// Address for callers of a proxy.
    #[must_use]
    pub fn proxy_address(&self, index: usize) -> SocketAddr {
        self.proxy_nodes[index % self.proxy_nodes.len()]
            .spec
            .callers
    }

    /// Applies the site's document with the operator's tool and waits until every proxy serves.
    ///
    /// # Errors
    /// The document cannot be written or is rejected, or a node is not ready in time.
    pub async fn configure(&self) -> Result<String, FleetError> {
        let path = self.folder().join("document.json");
        std::fs::write(&path, self.plan.document)
            .map_err(FleetError::io("writing the document"))?;
        let mut servers = Vec::new();
        for control in &self.controls {
            let address = control.spec.operator;
            wait_for("a control node's readiness", SERVE_BOUND, || {
                is_ready(address)
            })
            .await?;
            servers.push(address);
        }
        let output = self.operator.apply_by_tool(&servers, &path).await?;
        self.wait_until_proxies_ready().await?;
        Ok(output)
    }

    /// Waits until every proxy responds to `/readyz` with success.
    ///
    /// # Errors
    /// [`FleetError::Timeout`] when a proxy is not ready in time.
    pub async fn wait_until_proxies_ready(&self) -> Result<(), FleetError> {
        for proxy_node in &self.proxy_nodes {
            let address = proxy_node.spec.callers;
            wait_for("a proxy's readiness", SERVE_BOUND, || is_ready(address)).await?;
        }
        Ok(())
    }

    /// Starts one more backend under a new identity at a new address.
    ///
    /// # Errors
    /// No address is free, or the backend does not start.
    pub async fn add_backend(&mut self, kind: BackendKind, zone: String) -> Result<(), FleetError> {
        self.backend_names += 1;
        let spec = self.backend_spec(kind, zone, free_addresses(1)?[0]);
        let backend = BackendProcess::start(&self.binaries, self.folder.path(), spec).await?;
        self.backends.push(backend);
        Ok(())
    }

    /// Takes the last backend, which is dead, out of the list.
    pub fn retire_last_backend(&mut self) {
        self.retired_backends.extend(self.backends.pop());
    }

    /// Every execution so far, over all backends and restarts.
    ///
    /// # Errors
    /// [`FleetError::Io`] when an execution log cannot be read.
    pub fn executions(&self) -> Result<Vec<Execution>, FleetError> {
        let mut executions = Vec::new();
        for backend in self.backends.iter().chain(&self.retired_backends) {
            executions.extend(backend.executions()?);
        }
        Ok(executions)
    }

    /// Kills a control node and starts an empty one at a new address in its place.
    ///
    /// # Errors
    /// No address is free, or the control node does not start.
    pub async fn replace_control(&mut self, index: usize) -> Result<(), FleetError> {
        self.controls[index].process.kill().await;
        let addresses = free_addresses(2)?;
        self.control_names += 1;
        let spec = ControlNodeSpec {
            name: format!("control-{}", self.control_names),
            zone: self.controls[index].spec.zone.clone(),
            internal: addresses[0],
            operator: addresses[1],
        };
        let folder = self.folder.path();
        self.controls[index] =
            ControlNode::start(&self.binaries, folder, &self.common, spec).await?;
        self.publish_operator_addresses();
        Ok(())
    }

    fn publish_operator_addresses(&self) {
        let addresses = self
            .controls
            .iter()
            .map(|control| control.spec.operator)
            .collect();
        *self
            .operator_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Kills every process. The folder goes with the value.
    pub async fn stop(&mut self) {
        for proxy_node in &mut self.proxy_nodes {
            proxy_node.proxy.kill().await;
            proxy_node.agent.kill().await;
        }
        for control in &mut self.controls {
            control.process.kill().await;
        }
        for backend in &mut self.backends {
            backend.process.kill().await;
        }
        self.registry.kill().await;
    }

    /// Keeps the folder on disk and returns its path.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    fn backend_spec(&self, kind: BackendKind, zone: String, address: SocketAddr) -> BackendSpec {
        let name = match kind {
            BackendKind::Model => "model",
            BackendKind::Lookup => "lookup",
        };
        let id = format!("{name}-{}", self.backend_names);
        BackendSpec {
            id,
            zone,
            kind,
            address,
            registry: self.registry_address,
        }
    }

    async fn start_backends(&mut self) -> Result<(), FleetError> {
        for index in 0..self.plan.model_backends {
            self.add_backend(BackendKind::Model, self.plan.zone(index))
                .await?;
        }
        for index in 0..self.plan.lookup_backends {
            self.add_backend(BackendKind::Lookup, self.plan.zone(index))
                .await?;
        }
        Ok(())
    }

    async fn start_controls(&mut self, specs: Vec<ControlNodeSpec>) -> Result<(), FleetError> {
        // Together: a node may become ready only after it has met the others.
        let folder = self.folder.path();
        let starts = specs
            .into_iter()
            .map(|spec| ControlNode::start(&self.binaries, folder, &self.common, spec));
        self.controls = futures::future::try_join_all(starts).await?;
        self.control_names = self.controls.len();
        self.publish_operator_addresses();
        Ok(())
    }

    async fn start_proxy_nodes(&mut self) -> Result<(), FleetError> {
        let folder = self.folder.path();
        let addresses = free_addresses(self.plan.proxy_nodes * 3)?;
        let starts = addresses
            .chunks_exact(3)
            .enumerate()
            .map(|(index, addresses)| {
                let spec = proxy_node_spec(&self.plan, index, addresses);
                ProxyNode::start(&self.binaries, folder, &self.common, spec)
            });
        self.proxy_nodes = futures::future::try_join_all(starts).await?;
        Ok(())
    }
}

async fn start_registry(
    binaries: &Binaries,
    folder: &Path,
    address: SocketAddr,
) -> Result<FleetProcess, FleetError> {
    let arguments = ["registry", "--address", &address.to_string()].map(str::to_owned);
    FleetProcess::start(ProcessSpec {
        name: "registry".to_owned(),
        program: binaries.path(LAB_PROGRAM)?,
        arguments: arguments.to_vec(),
        log: folder.join("registry.log"),
    })
    .await
}
