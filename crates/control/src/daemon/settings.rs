//! Settings of the daemon.

use millford_settings::fault::{require_addresses, require_texts};
use millford_settings::logging::parse_level;
use millford_settings::{LogFormat, Settings, SettingsFault, SettingsKey};
use serde::Deserialize;

use crate::options::VOTERS_PER_SHARD;

/// Number of hexadecimal digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// Most voters of a shard. More voters would make every commit slower, to tolerate more lost disks
/// than are likely.
const MAX_VOTERS: u32 = 9;

/// Settings of `millford-control`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Zone of the machine.
    pub zone: String,
    /// IP address and port for control nodes and agents.
    pub internal_address: String,
    /// IP address and port of the operator interface.
    pub operator_address: String,
    /// Internal addresses of the control nodes to contact first.
    pub seeds: Vec<String>,
    /// Folder of the node's data.
    pub data_folder: String,
    /// SHA-256 hash of the operator key, in lower-case hexadecimal.
    pub operator_key_hash: String,
    /// IP address and port of the service registry; empty if none is watched.
    pub registry_address: String,
    /// Number of control nodes that form the cluster; must be the number of seeds.
    pub cluster_size: u32,
    /// Number of data shards, 1 to 64, of a cluster that this node forms.
    pub data_shards: u32,
    /// Number of voters of a shard if there are enough nodes; odd, 2n + 1 to tolerate the loss of n
    /// disks.
    pub voters_per_shard: u32,
    /// Time without contact after which a voter is replaced, in milliseconds; at least 1000.
    pub replace_after_ms: u64,
    /// Memory that the process may use, in megabytes. Limits on received frames and orders follow from it.
    pub memory_limit_mb: u64,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// Format of a log line.
    pub log_format: LogFormat,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            internal_address: String::new(),
            operator_address: String::new(),
            seeds: Vec::new(),
            data_folder: String::new(),
            operator_key_hash: String::new(),
            registry_address: String::new(),
            cluster_size: 3,
            data_shards: 6,
            voters_per_shard: VOTERS_PER_SHARD as u32,
            replace_after_ms: 5000,
            memory_limit_mb: 1024,
            log_level: "info".to_owned(),
            log_format: LogFormat::Text,
        }
    }
}

impl Settings for ControlSettings {
    const KEYS: &'static [SettingsKey] = &[
        SettingsKey::text("zone", "zone of this machine"),
        SettingsKey::text("internal_address", "IP:PORT for control nodes and agents"),
        SettingsKey::text("operator_address", "IP:PORT of the operator interface"),
        SettingsKey::list("seeds", "internal addresses of control nodes to begin with"),
        SettingsKey::text("data_folder", "folder of the node's data"),
        SettingsKey::text(
            "operator_key_hash",
            "SHA-256 of the operator key, in hexadecimal",
        ),
        SettingsKey::text("registry_address", "IP:PORT of the service registry"),
        SettingsKey::number("cluster_size", "control nodes that form the cluster"),
        SettingsKey::number("data_shards", "data shards of a new cluster"),
        SettingsKey::number("voters_per_shard", "voters of a shard, an odd number"),
        SettingsKey::number(
            "replace_after_ms",
            "silence after which a lost voter is replaced",
        ),
        SettingsKey::number(
            "memory_limit_mb",
            "memory that the process may use, in megabytes",
        ),
        SettingsKey::text("log_level", "error, warn, info, debug or trace"),
        SettingsKey::text("log_format", "text or json"),
    ];

    fn faults(&self) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        require_texts(&mut faults, &[("data_folder", &self.data_folder)]);
        let mut addresses = vec![
            ("internal_address", self.internal_address.as_str()),
            ("operator_address", self.operator_address.as_str()),
        ];
        if !self.registry_address.is_empty() {
            addresses.push(("registry_address", &self.registry_address));
        }
        addresses.extend(self.seeds.iter().map(|seed| ("seeds", seed.as_str())));
        require_addresses(&mut faults, &addresses);
        self.check_numbers(&mut faults);
        self.check_hash(&mut faults);
        faults
    }
}

impl ControlSettings {
    fn check_numbers(&self, faults: &mut Vec<SettingsFault>) {
        if self.seeds.is_empty() {
            faults.push(SettingsFault::new("seeds", "must not be empty"));
        }
        if !(1..=64).contains(&self.data_shards) {
            faults.push(SettingsFault::new("data_shards", "must be from 1 to 64"));
        }
        if usize::try_from(self.cluster_size) != Ok(self.seeds.len()) {
            let text = "must be the number of seeds";
            faults.push(SettingsFault::new("cluster_size", text));
        }
        let odd = self.voters_per_shard % 2 == 1;
        if !odd || self.voters_per_shard > MAX_VOTERS {
            let text = "must be an odd number, at most 9";
            faults.push(SettingsFault::new("voters_per_shard", text));
        }
        if self.memory_limit_mb == 0 {
            faults.push(SettingsFault::new("memory_limit_mb", "must be above 0"));
        }
        if self.replace_after_ms < 1000 {
            let text = "must be at least 1000, longer than an election";
            faults.push(SettingsFault::new("replace_after_ms", text));
        }
        if parse_level(&self.log_level).is_none() {
            faults.push(SettingsFault::new(
                "log_level",
                "must be error, warn, info, debug or trace",
            ));
        }
    }

    fn check_hash(&self, faults: &mut Vec<SettingsFault>) {
        let digits = self.operator_key_hash.bytes();
        let hexadecimal = digits.len() == HASH_DIGITS
            && digits
                .clone()
                .all(|digit| matches!(digit, b'0'..=b'9' | b'a'..=b'f'));
        if !hexadecimal {
            let text = "must be a SHA-256 in lower-case hexadecimal";
            faults.push(SettingsFault::new("operator_key_hash", text));
        }
    }
}
