//! Starts, configures and stops a complete fleet of processes on loopback.

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

/// Longest wait for each node to report readiness.
const READINESS_TIMEOUT: Duration = Duration::from_secs(20);

/// A complete fleet on loopback. Dropping the value kills every process and removes the folder, unless
/// [`Fleet::keep_folder`] was called.
#[derive(Debug)]
pub struct Fleet {
    /// Topology and configuration document of the site.
    pub plan: SitePlan,
    /// Process of the service registry stand-in.
    pub registry: FleetProcess,
    /// Address of the registry's HTTP server.
    pub registry_address: SocketAddr,
    /// Control nodes, each with its current spec; replaced ones are overwritten in place.
    pub controls: Vec<ControlNode>,
    /// Pairs of agent and proxy.
    pub proxy_nodes: Vec<ProxyNode>,
    /// Backends, model backends first.
    pub backends: Vec<BackendProcess>,
    /// Backends that were replaced; [`Fleet::executions`] still reads their execution logs.
    pub retired_backends: Vec<BackendProcess>,
    /// Operator addresses of the control nodes, updated on replacement and shared with concurrent tasks.
    pub operator_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// Client of the operator interface.
    pub operator: Operator,
    /// Settings that all control nodes and agents share.
    pub common: ControlClusterSettings,
    /// Folder of the programs.
    pub binaries: Binaries,
    folder: TempDir,
    last_control_number: usize,
    last_backend_number: usize,
}

impl Fleet {
    /// Starts every process and waits until each has printed its ready line. No configuration is applied yet.
    ///
    /// # Errors
    /// A program is missing, no address is free, or a process does not start. If a backend, control node or
    /// proxy node does not start, the folder with the logs is kept.
    pub async fn start(plan: SitePlan, binaries: Binaries) -> Result<Self, FleetError> {
        let folder = tempfile::Builder::new()
            .prefix("millford-lab-")
            .tempdir()
            .map_err(FleetError::io("creating the fleet's folder"))?;
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
            last_control_number: 0,
            last_backend_number: 0,
        };
        match fleet.start_machines(specs).await {
            Ok(()) => Ok(fleet),
            Err(error) => {
                // The error message refers to a log file in the folder.
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

    /// Returns the folder of settings files, logs and data.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the operator address of the first control node.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.controls[0].spec.operator
    }

    /// Returns the caller address of the proxy at `index`, modulo the number of proxies.
    #[must_use]
    pub fn proxy_address(&self, index: usize) -> SocketAddr {
        self.proxy_nodes[index % self.proxy_nodes.len()]
            .spec
            .callers
    }

    /// Applies the site's configuration document with `millfordctl` and waits until every proxy is ready.
    /// Returns the output of the tool.
    ///
    /// # Errors
    /// The document cannot be written or is rejected, or a node is not ready in time.
    pub async fn configure(&self) -> Result<String, FleetError> {
        let path = self.folder().join("document.json");
        std::fs::write(&path, self.plan.document)
            .map_err(FleetError::io("writing the configuration document"))?;
        let mut servers = Vec::new();
        for control in &self.controls {
            let address = control.spec.operator;
            wait_for("the readiness of a control node", READINESS_TIMEOUT, || {
                is_ready(address)
            })
            .await?;
            servers.push(address);
        }
        let output = self.operator.apply_by_tool(&servers, &path).await?;
        self.wait_until_proxies_ready().await?;
        Ok(output)
    }

    /// Waits until `/readyz` of every proxy returns a success status.
    ///
    /// # Errors
    /// [`FleetError::Timeout`] when a proxy is not ready in time.
    pub async fn wait_until_proxies_ready(&self) -> Result<(), FleetError> {
        for proxy_node in &self.proxy_nodes {
            let address = proxy_node.spec.callers;
            wait_for("the readiness of a proxy", READINESS_TIMEOUT, || {
                is_ready(address)
            })
            .await?;
        }
        Ok(())
    }

    /// Starts one more backend under a new identity at a new address.
    ///
    /// # Errors
    /// No address is free, or the backend does not start.
    pub async fn add_backend(&mut self, kind: BackendKind, zone: String) -> Result<(), FleetError> {
        self.last_backend_number += 1;
        let spec = self.backend_spec(kind, zone, free_addresses(1)?[0]);
        let backend = BackendProcess::start(&self.binaries, self.folder.path(), spec).await?;
        self.backends.push(backend);
        Ok(())
    }

    /// Moves the last backend, whose process has been killed, to [`Fleet::retired_backends`].
    pub fn retire_last_backend(&mut self) {
        self.retired_backends.extend(self.backends.pop());
    }

    /// Reads every execution so far, over all backends and restarts.
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

    /// Kills a control node and starts one with an empty data folder at new addresses in its place.
    ///
    /// # Errors
    /// No address is free, or the control node does not start.
    pub async fn replace_control(&mut self, index: usize) -> Result<(), FleetError> {
        self.controls[index].process.kill().await;
        let addresses = free_addresses(2)?;
        self.last_control_number += 1;
        let spec = ControlNodeSpec {
            name: format!("control-{}", self.last_control_number),
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

    /// Kills every process. The folder is removed only when the value is dropped.
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

    /// Prevents the removal of the folder and returns its path.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    fn backend_spec(&self, kind: BackendKind, zone: String, address: SocketAddr) -> BackendSpec {
        let name = match kind {
            BackendKind::Model => "model",
            BackendKind::Lookup => "lookup",
        };
        let id = format!("{name}-{}", self.last_backend_number);
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
        // Start all concurrently: a node may become ready only after it has connected to the others.
        let folder = self.folder.path();
        let starts = specs
            .into_iter()
            .map(|spec| ControlNode::start(&self.binaries, folder, &self.common, spec));
        self.controls = futures::future::try_join_all(starts).await?;
        self.last_control_number = self.controls.len();
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
