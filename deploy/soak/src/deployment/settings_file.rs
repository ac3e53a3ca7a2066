//! Writes the settings file that the platform gives to the processes of a machine.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;

use super::network::Network;
use crate::bounds;

/// Region of all machines.
const REGION: &str = "soak-region";
/// Machines that may be lost at once.
const TOLERATED_MACHINES: u32 = 1;
/// Age of the backend list, in milliseconds.
const LIST_LAG_MS: u64 = 800;

/// Settings of one machine. The field names are those of the platform.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineSettings {
    node: String,
    role: String,
    machine_class: String,
    serves: Vec<String>,
    ip: String,
    zone: String,
    region: String,
    port_range: [u16; 2],
    seeds: Vec<SocketAddr>,
    bootstrap: bool,
    in_fault_set: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    data_dir: Option<PathBuf>,
    listen: BTreeMap<String, SocketAddr>,
    limits: Limits,
    fault_tolerance: FaultTolerance,
    bounds: Bounds,
    cloud_api: CloudApi,
}

/// Resources of each process of a machine.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    memory_mb: u64,
    max_fds: u64,
}

#[derive(Clone, Debug, Serialize)]
struct FaultTolerance {
    machines: u32,
    zones: u32,
    regions: u32,
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    seed_lag_s: f64,
    contact_ms: u64,
    ack_ms: u64,
    catch_up_s: f64,
    drain_ms: u64,
    grace_s: f64,
    loss_slack_ms: u64,
    config_apply_ms: u64,
    downgrade_slack_ms: u64,
    stretch_max_ms: u64,
    recovery_s: f64,
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct CloudApi {
    addr: SocketAddr,
    rate_per_s: f64,
    max_lag_ms: u64,
}

impl MachineSettings {
    /// Settings of a proxy machine.
    #[must_use]
    pub fn front(network: Network, index: usize, zone: &str) -> Self {
        let mut settings = Self::common(network, format!("front-{index}"), "front", zone);
        settings.ip = network.front(index).to_string();
        settings
            .listen
            .insert("front".to_owned(), network.caller(index));
        settings
            .listen
            .insert("readiness".to_owned(), network.readiness(index));
        settings
    }

    /// Settings of a control machine with its data folder.
    #[must_use]
    pub fn control(network: Network, number: usize, zone: &str, data_dir: PathBuf) -> Self {
        let mut settings = Self::common(network, format!("core-{number}"), "control", zone);
        settings.ip = network.control(number).to_string();
        "core".clone_into(&mut settings.machine_class);
        settings.in_fault_set = true;
        settings.data_dir = Some(data_dir);
        settings
            .listen
            .insert("control".to_owned(), network.operator(number));
        settings
    }

    /// Name of the machine.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.node
    }

    /// Sets whether the whole system starts for the first time.
    pub fn set_bootstrap(&mut self, bootstrap: bool) {
        self.bootstrap = bootstrap;
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Writes the file so that a reader never sees a part of it.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let text = toml::to_string(self).map_err(io::Error::other)?;
        let temporary = path.with_extension("tmp");
        std::fs::write(&temporary, text)?;
        std::fs::rename(&temporary, path)
    }

    fn common(network: Network, node: String, serves: &str, zone: &str) -> Self {
        Self {
            node,
            role: serves.to_owned(),
            machine_class: "front".to_owned(),
            serves: vec![serves.to_owned()],
            ip: String::new(),
            zone: zone.to_owned(),
            region: REGION.to_owned(),
            port_range: network.port_range(),
            seeds: Vec::new(),
            bootstrap: false,
            in_fault_set: false,
            data_dir: None,
            listen: BTreeMap::new(),
            limits: Limits {
                memory_mb: bounds::MEMORY_MB,
                max_fds: bounds::MAX_DESCRIPTORS,
            },
            fault_tolerance: FaultTolerance {
                machines: TOLERATED_MACHINES,
                zones: 0,
                regions: 0,
            },
            bounds: Bounds::of_checks(),
            cloud_api: CloudApi {
                addr: network.list(),
                rate_per_s: 44.0,
                max_lag_ms: LIST_LAG_MS,
            },
        }
    }
}

impl Bounds {
    fn of_checks() -> Self {
        Self {
            seed_lag_s: bounds::SEED_LAG.as_secs_f64(),
            contact_ms: millis(bounds::CONTACT),
            ack_ms: millis(bounds::ACKNOWLEDGE),
            catch_up_s: bounds::CATCH_UP.as_secs_f64(),
            drain_ms: millis(bounds::DRAIN),
            grace_s: bounds::GRACE.as_secs_f64(),
            loss_slack_ms: millis(bounds::LOSS_SLACK),
            config_apply_ms: millis(bounds::CONFIG_APPLY),
            downgrade_slack_ms: millis(bounds::DOWNGRADE_SLACK),
            stretch_max_ms: millis(bounds::STRETCH_MAX),
            recovery_s: bounds::RECOVERY.as_secs_f64(),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
