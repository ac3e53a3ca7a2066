//! Settings of `millford-agent`.

use millford_settings::fault::{check_optional_address, require_addresses, require_texts};
use millford_settings::logging::parse_level;
use millford_settings::{LogFormat, Settings, SettingsFault, SettingsKey};
use serde::Deserialize;

/// Settings from the settings file and the command line.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentSettings {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Loopback address (IP and port) on which the agent accepts the proxy's connection.
    pub local_address: String,
    /// Address (IP and port) of the HTTP server for health checks and metrics.
    pub http_address: String,
    /// Address on which the local proxy exchanges messages with other proxies; empty if it does
    /// not.
    pub exchange_address: String,
    /// Internal addresses of the control nodes that are tried first; at least one is required.
    pub seeds: Vec<String>,
    /// Address of the service registry, which is read while the control plane does not confirm
    /// every shard; empty if there is none.
    pub registry_address: String,
    /// Folder in which the list of control nodes is saved across restarts; empty to save nothing.
    pub data_folder: String,
    /// Longest time after the termination signal for which a draining proxy is served, in milliseconds. It must cover
    /// the drain time of the proxy.
    pub drain_timeout_ms: u64,
    /// Memory that the process may use, in megabytes. Limits on received frames follow from it.
    pub memory_limit_mb: u64,
    /// Lowest severity that is logged.
    pub log_level: String,
    /// Output format of the log.
    pub log_format: LogFormat,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            name: String::new(),
            zone: String::new(),
            local_address: String::new(),
            http_address: String::new(),
            exchange_address: String::new(),
            seeds: Vec::new(),
            registry_address: String::new(),
            data_folder: String::new(),
            drain_timeout_ms: 35_000,
            memory_limit_mb: 1024,
            log_level: String::new(),
            log_format: LogFormat::default(),
        }
    }
}

impl Settings for AgentSettings {
    const KEYS: &'static [SettingsKey] = &[
        SettingsKey::text("name", "name of this node, unique in the fleet"),
        SettingsKey::text("zone", "zone of this node"),
        SettingsKey::text(
            "local_address",
            "loopback address that the proxy connects to",
        ),
        SettingsKey::text(
            "http_address",
            "address of the HTTP server for health checks and metrics",
        ),
        SettingsKey::text(
            "exchange_address",
            "IP:PORT on which the proxy exchanges messages with other proxies",
        ),
        SettingsKey::list(
            "seeds",
            "internal addresses of the control nodes to try first",
        ),
        SettingsKey::text(
            "registry_address",
            "address of the service registry, read while a shard is not confirmed",
        ),
        SettingsKey::text(
            "data_folder",
            "folder in which the list of control nodes is saved across restarts",
        ),
        SettingsKey::number(
            "drain_timeout_ms",
            "longest time for which a draining proxy is served after SIGTERM",
        ),
        SettingsKey::number(
            "memory_limit_mb",
            "memory that the process may use, in megabytes",
        ),
        SettingsKey::LOG_LEVEL,
        SettingsKey::LOG_FORMAT,
    ];

    fn faults(&self) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        require_texts(&mut faults, &[("name", &self.name), ("zone", &self.zone)]);
        require_addresses(
            &mut faults,
            &[
                ("local_address", &self.local_address),
                ("http_address", &self.http_address),
            ],
        );
        if self.seeds.is_empty() {
            let text = "At least one address is required.";
            faults.push(SettingsFault::new("seeds", text));
        }
        check_optional_address(&mut faults, "exchange_address", &self.exchange_address);
        for seed in &self.seeds {
            require_addresses(&mut faults, &[("seeds", seed)]);
        }
        check_optional_address(&mut faults, "registry_address", &self.registry_address);
        if self.memory_limit_mb == 0 {
            let text = "The value must be above 0.";
            faults.push(SettingsFault::new("memory_limit_mb", text));
        }
        if parse_level(&self.log_level).is_none() {
            let text = format!("\"{}\" is not a log level.", self.log_level);
            faults.push(SettingsFault::new("log_level", text));
        }
        faults
    }
}
