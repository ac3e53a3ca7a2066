//! Settings of `millford-agent`.

use millford_settings::fault::{check_optional_address, require_addresses, require_texts};
use millford_settings::logging::parse_level;
use millford_settings::{LogFormat, Settings, SettingsFault, SettingsKey};
use serde::Deserialize;

/// What the settings file and the flags say.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentSettings {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Loopback address for the proxy.
    pub local_address: String,
    /// Address of health and metrics.
    pub http_address: String,
    /// Address where the proxy beside the agent exchanges messages with other proxies. May be empty.
    pub exchange_address: String,
    /// Internal addresses of control nodes to start with.
    pub seeds: Vec<String>,
    /// Address of the service registry, read while disconnected from the control plane. May be empty.
    pub registry_address: String,
    /// Folder for the list of control nodes. May be empty: nothing is saved.
    pub data_folder: String,
    /// Least severe level of log lines.
    pub log_level: String,
    /// Form of log lines.
    pub log_format: LogFormat,
}

impl Settings for AgentSettings {
    const KEYS: &'static [SettingsKey] = &[
        SettingsKey::text("name", "name of this node, unique in the fleet"),
        SettingsKey::text("zone", "zone of this node"),
        SettingsKey::text("local_address", "loopback address for the proxy"),
        SettingsKey::text("http_address", "address of health and metrics"),
        SettingsKey::text(
            "exchange_address",
            "IP:PORT where the proxy exchanges news with other proxies",
        ),
        SettingsKey::list("seeds", "internal addresses of control nodes to begin with"),
        SettingsKey::text(
            "registry_address",
            "address of the service registry, read while out of touch with control",
        ),
        SettingsKey::text(
            "data_folder",
            "folder that keeps the list of control nodes over restarts",
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
        if parse_level(&self.log_level).is_none() {
            let text = format!("\"{}\" is not a level.", self.log_level);
            faults.push(SettingsFault::new("log_level", text));
        }
        faults
    }
}
