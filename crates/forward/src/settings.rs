//! The settings of the forwarding proxy.

use millford_bounded_io::{MIN_HEAD_BYTES, MemoryLimit};
use millford_core::Duration;
use millford_data_plane::limits::RequestLimits;
use millford_settings::fault::{require_addresses, require_at_least, require_texts};
use millford_settings::logging::{LogOptions, parse_level};
use millford_settings::{LogFormat, Settings, SettingsFault, SettingsKey};
use serde::Deserialize;

use crate::mechanism::Mechanisms;

/// Bounds on what callers and backends may cost the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardBounds {
    /// Most connections of callers.
    pub max_connections: usize,
    /// Largest head of a backend's answer, in bytes.
    pub max_backend_head_bytes: usize,
    /// Largest event of a backend's stream, in bytes.
    pub max_event_bytes: usize,
    /// Largest answer of a backend that is not a stream, in bytes.
    pub max_answer_bytes: u64,
}

/// The settings file of `millford-forward`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ForwardSettings {
    /// Name of the node; must be the same as in the agent's session.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// IP address and port that callers connect to.
    pub caller_address: String,
    /// IP address and port of the readiness check and the metrics.
    pub readiness_address: String,
    /// IP address and UDP port for datagrams from other proxies.
    pub exchange_address: String,
    /// IP address and port of the agent on the same node.
    pub agent_address: String,
    /// Least severe level that is logged.
    pub log_level: String,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Longest time from the termination signal to the end of the process, in milliseconds.
    #[serde(rename = "leave_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Longest time to open a connection to a backend, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Memory that the process may use, in megabytes. Limits on what is held for callers and
    /// backends follow from it.
    pub memory_limit_mb: u64,
    /// Most connections of callers that are served at the same time; 0 for as many as fit into half of the memory.
    pub max_connections: u64,
    /// Largest head of a backend's answer, in bytes; at least 8192.
    pub max_backend_head_bytes: u64,
    /// Largest event of a backend's stream, in bytes.
    pub max_event_bytes: u64,
    /// Largest answer of a backend that is not a stream, in bytes.
    pub max_answer_bytes: u64,
    /// Sampling rate of decision records, in requests per thousand: 0 logs none, 1000 logs all.
    pub decision_log_per_mille: u32,
    /// Comma-separated names of the mechanisms to disable, for measurements of their effect.
    #[serde(rename = "leave_out")]
    pub disabled_mechanisms: String,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            name: String::new(),
            zone: String::new(),
            caller_address: String::new(),
            readiness_address: String::new(),
            exchange_address: String::new(),
            agent_address: String::new(),
            log_level: "info".to_owned(),
            log_format: LogFormat::default(),
            drain_timeout_ms: 7500,
            connect_timeout_ms: 400,
            memory_limit_mb: 1024,
            max_connections: 0,
            max_backend_head_bytes: 16 * 1024,
            max_event_bytes: 4 * 1024 * 1024,
            max_answer_bytes: 16 * 1024 * 1024,
            decision_log_per_mille: 0,
            disabled_mechanisms: String::new(),
        }
    }
}

impl ForwardSettings {
    /// Returns the level and the format of the log. An invalid level counts as `info`.
    #[must_use]
    pub fn log_options(&self) -> LogOptions {
        LogOptions {
            level: parse_level(&self.log_level).unwrap_or(spdlog::Level::Info),
            format: self.log_format,
        }
    }

    /// Returns the memory that the process may use.
    #[must_use]
    pub fn memory_limit(&self) -> MemoryLimit {
        MemoryLimit::of_megabytes(self.memory_limit_mb)
    }

    /// Returns the limits of the state that both data planes have.
    #[must_use]
    pub fn request_limits(&self) -> RequestLimits {
        let memory = self.memory_limit();
        RequestLimits {
            caller_body_bytes: memory.caller_body_bytes(),
            answer_bytes: memory.buffer_bytes(),
            ..RequestLimits::default()
        }
    }

    /// Returns the bounds on what callers and backends may cost the process.
    #[must_use]
    pub fn bounds(&self) -> ForwardBounds {
        let memory = self.memory_limit();
        let fitting = memory.max_connections();
        ForwardBounds {
            max_connections: match self.max_connections {
                0 => fitting,
                limit => to_usize(limit).min(fitting),
            },
            max_backend_head_bytes: to_usize(self.max_backend_head_bytes),
            max_event_bytes: to_usize(self.max_event_bytes),
            max_answer_bytes: self.max_answer_bytes,
        }
    }

    /// Returns the longest time to open a connection to a backend.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }
}

impl Settings for ForwardSettings {
    const KEYS: &'static [SettingsKey] = &[
        SettingsKey::text("name", "name of the node"),
        SettingsKey::text("zone", "zone of the node"),
        SettingsKey::text("caller_address", "IP address and port for callers"),
        SettingsKey::text("readiness_address", "IP address and port for readiness"),
        SettingsKey::text("exchange_address", "IP address and port for other proxies"),
        SettingsKey::text("agent_address", "IP address and port of the agent"),
        SettingsKey::text("log_level", "error, warn, info, debug or trace"),
        SettingsKey::text("log_format", "text or json"),
        SettingsKey::number("leave_timeout_ms", "longest time to drain, in milliseconds"),
        SettingsKey::number(
            "connect_timeout_ms",
            "longest time to connect to a backend, in milliseconds",
        ),
        SettingsKey::number(
            "memory_limit_mb",
            "memory that the process may use, in megabytes",
        ),
        SettingsKey::number(
            "max_connections",
            "most connections of callers, 0 for as many as the memory allows",
        ),
        SettingsKey::number(
            "max_backend_head_bytes",
            "largest head of a backend's answer",
        ),
        SettingsKey::number("max_event_bytes", "largest event of a backend's stream"),
        SettingsKey::number(
            "max_answer_bytes",
            "largest answer of a backend that is not a stream",
        ),
        SettingsKey::number(
            "decision_log_per_mille",
            "requests per thousand whose decisions are logged",
        ),
        SettingsKey::text(
            "leave_out",
            "names of mechanisms to disable, for measurements",
        ),
    ];

    fn faults(&self) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        require_texts(&mut faults, &[("name", &self.name), ("zone", &self.zone)]);
        require_addresses(
            &mut faults,
            &[
                ("caller_address", &self.caller_address),
                ("readiness_address", &self.readiness_address),
                ("exchange_address", &self.exchange_address),
                ("agent_address", &self.agent_address),
            ],
        );
        if parse_level(&self.log_level).is_none() {
            faults.push(SettingsFault::new("log_level", "This is not a log level."));
        }
        if self.decision_log_per_mille > 1000 {
            let too_many = "The value must be at most 1000.";
            faults.push(SettingsFault::new("decision_log_per_mille", too_many));
        }
        if let Err(unknown) = Mechanisms::all_but(&self.disabled_mechanisms) {
            faults.push(SettingsFault::new("leave_out", unknown.to_string()));
        }
        let head_bytes = ("max_backend_head_bytes", self.max_backend_head_bytes);
        require_at_least(&mut faults, head_bytes, MIN_HEAD_BYTES);
        let positive = [
            ("memory_limit_mb", self.memory_limit_mb),
            ("max_event_bytes", self.max_event_bytes),
            ("max_answer_bytes", self.max_answer_bytes),
            ("leave_timeout_ms", self.drain_timeout_ms),
            ("connect_timeout_ms", self.connect_timeout_ms),
        ];
        for (key, value) in positive {
            if value == 0 {
                faults.push(SettingsFault::new(key, "The value must be above 0."));
            }
        }
        faults
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
