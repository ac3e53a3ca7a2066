//! Cluster of three real control processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use sha2::{Digest, Sha256};

use crate::error::ScaleError;
use crate::measure::ProcessSample;
use crate::rig::child::Child;
use crate::rig::ports::free_addresses;

/// Number of control processes in the cluster.
pub const CONTROL_NODES: usize = 3;

/// Operator key of every run. A constant is safe because the processes listen on loopback only and run for
/// about a minute.
pub const OPERATOR_KEY: &str = "scale-run-operator";

/// Running control processes with their addresses and data folders.
#[derive(Debug)]
pub struct ControlCluster {
    program: PathBuf,
    folder: PathBuf,
    log_level: String,
    registry: SocketAddr,
    internal: Vec<SocketAddr>,
    operator: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl ControlCluster {
    /// Starts the processes with empty data folders under `folder` and waits until each is ready.
    ///
    /// # Errors
    /// Fails when no address is free, or a process does not become ready in time.
    pub fn start(
        programs: &Path,
        folder: &Path,
        registry: SocketAddr,
        log_level: &str,
    ) -> Result<Self, ScaleError> {
        let mut addresses = free_addresses(2 * CONTROL_NODES)?;
        let operator = addresses.split_off(CONTROL_NODES);
        let mut cluster = Self {
            program: programs.join("millford-control"),
            folder: folder.to_path_buf(),
            log_level: log_level.to_owned(),
            registry,
            internal: addresses,
            operator,
            children: Vec::new(),
        };
        cluster.start_processes()?;
        Ok(cluster)
    }

    /// Kills every process and restarts it with the same data folder and addresses.
    ///
    /// # Errors
    /// Fails when a process does not become ready in time.
    pub fn restart(&mut self) -> Result<(), ScaleError> {
        self.children.clear();
        self.start_processes()
    }

    /// Returns the internal addresses, which agents connect to.
    #[must_use]
    pub fn internal_addresses(&self) -> Vec<String> {
        self.internal.iter().map(ToString::to_string).collect()
    }

    /// Returns the addresses of the operator API.
    #[must_use]
    pub fn operator_addresses(&self) -> &[SocketAddr] {
        &self.operator
    }

    /// Returns processor time and memory of every process that is still running.
    #[must_use]
    pub fn samples(&self) -> Vec<ProcessSample> {
        let children = self.children.iter();
        children
            .filter_map(|child| ProcessSample::of_process(child.id()))
            .collect()
    }

    /// Returns the total size of all data folders, in bytes.
    #[must_use]
    pub fn data_bytes(&self) -> u64 {
        (0..CONTROL_NODES)
            .map(|node| folder_bytes(&self.data_folder(node)))
            .sum()
    }

    fn start_processes(&mut self) -> Result<(), ScaleError> {
        for node in 0..CONTROL_NODES {
            let log = self.folder.join(format!("control-{node}.log"));
            let child = Child::start(&self.program, &self.arguments(node), &log)?;
            self.children.push(child);
        }
        Ok(())
    }

    fn data_folder(&self, node: usize) -> PathBuf {
        self.folder.join(format!("control-{node}"))
    }

    fn arguments(&self, node: usize) -> Vec<String> {
        let key_hash = hex::encode(Sha256::digest(OPERATOR_KEY.as_bytes()));
        let values = [
            ("--zone", format!("zone-{node}")),
            ("--internal-address", self.internal[node].to_string()),
            ("--operator-address", self.operator[node].to_string()),
            ("--seeds", self.internal_addresses().join(",")),
            (
                "--data-folder",
                self.data_folder(node).display().to_string(),
            ),
            ("--operator-key-hash", key_hash),
            ("--registry-address", self.registry.to_string()),
            ("--log-level", self.log_level.clone()),
        ];
        let pairs = values.into_iter();
        pairs
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect()
    }
}

fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return 0;
    };
    let sizes = entries.flatten().map(|entry| match entry.metadata() {
        Ok(data) if data.is_dir() => folder_bytes(&entry.path()),
        Ok(data) => data.len(),
        Err(_) => 0,
    });
    sizes.sum()
}
